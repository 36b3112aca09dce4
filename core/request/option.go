package request

// Option changes a Requests; all of them take a mechanism away, to show that the proofs notice.
type Option func(*Requests)

// WithoutOrder passes the parts of a stream on as they come.
func WithoutOrder() Option { return func(r *Requests) { r.noOrder = true } }

// WithoutAbandon takes the answers of attempts that were given up.
func WithoutAbandon() Option { return func(r *Requests) { r.noAbandon = true } }
