// Package callerlimit decides which callers' connections are refused or closed first when connections or memory run out.
//
// It acts only when a limit is reached: below the limits every connection is admitted, whatever its address, because
// callers behind a load balancer share one. Connections whose request may be running are never closed.
package callerlimit
