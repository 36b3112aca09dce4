// Package embed runs complete bluebellflow nodes in the process of an experiment, next to the stand-ins.
package embed
