// Package permit limits the load of cold backend servers over all nodes.
//
// A server is cold until its permit holder declares it warm for its present start identity. The holder is one node of
// the server's domain; it lends permits, each for one attempt in flight, and never more than the server can handle.
package permit
