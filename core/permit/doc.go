// Package permit limits the load that all nodes together put on a cold backend server.
//
// Each server has a permit issuer, which is one node of the server's failure domain. The issuer grants permits to the
// nodes, each for one attempt in flight, and never more at a time than the server can handle. A server is cold until
// its issuer has declared it warm for its current start identity; attempts to a warm server need no permit.
package permit
