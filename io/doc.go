// Package io holds no code; its packages carry out the actions that bluebellflow/core decides on.
package io
