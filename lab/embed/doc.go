// Package embed runs whole bluebellflow nodes inside the process of an experiment, beside the stand-ins.
package embed
