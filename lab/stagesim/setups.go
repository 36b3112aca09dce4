package stagesim

import (
	"time"

	"bluebellflow/core/catalog"
	"bluebellflow/core/id"
)

const (
	kilobyte = 1000
	megabyte = 1000 * kilobyte
	// resultTTL is how long a server keeps a result that is not released.
	resultTTL = 4 * time.Second
	// callTime is the fixed cost of a call, without the time of its pieces.
	callTime = 240 * time.Millisecond
)

// newPool returns a pool with five servers in three failure domains.
func newPool(name id.Pool, maxBatch int, pieceTime time.Duration, memory int64) Pool {
	return Pool{Servers: []int{2, 2, 1}, Pool: catalog.Pool{Name: name, Pieces: &catalog.Pieces{
		MaxCalls: 1, MaxQueuedCalls: 2, MaxBatch: maxBatch, CallTime: callTime, PieceTime: pieceTime, ResultMemory: memory, ResultTTL: resultTTL,
	}}}
}

// Library returns a deployment modelled on Kitab Rahhal: long drafts that read large records, answers that use three pools,
// and tags that use all three pools although their value is low.
func Library() Setup {
	answer := []Stage{
		{Pool: "times", Pieces: 1, Bytes: 8 * kilobyte, WorkFactor: 0.3},
		{Pool: "cards", After: []int{0}, Pieces: 4, Bytes: 60 * kilobyte},
		{Pool: "fines", After: []int{1}, Pieces: 6, Bytes: 6 * kilobyte},
	}
	tag := []Stage{
		{Pool: "times", Pieces: 1.5, Share: 0.4, Bytes: 800 * kilobyte},
		{Pool: "times", Pieces: 1, Bytes: 8 * kilobyte, WorkFactor: 0.3},
		{Pool: "cards", After: []int{1}, Pieces: 4, Bytes: 60 * kilobyte},
		{Pool: "fines", After: []int{2}, Pieces: 6, Bytes: 6 * kilobyte},
	}
	return Setup{
		Domains: []id.FailureDomain{"a", "b", "c"}, Nodes: 1,
		Pools: []Pool{
			newPool("times", 8, 26*time.Millisecond, 9600*kilobyte),
			newPool("cards", 22, 9400*time.Microsecond, 2400*kilobyte),
			newPool("fines", 32, 6400*time.Microsecond, 360*kilobyte),
		},
		Routes: []Route{
			{
				Name: "draft", Rate: 8.2, Objective: 1200 * time.Millisecond, Deadline: 12 * time.Second, Priority: 1, Value: 15800,
				ModelTime: 200 * time.Millisecond, Stages: []Stage{{Pool: "times", Pieces: 2.5, Share: 0.7, Bytes: 800 * kilobyte}},
			},
			{
				Name: "answer", Rate: 17.5, Objective: 1900 * time.Millisecond, Deadline: 12 * time.Second, Value: 3700,
				ModelTime: 60 * time.Millisecond, Stages: answer,
			},
			{
				Name: "tag", Rate: 13.9, Objective: 1900 * time.Millisecond, Deadline: 6 * time.Second, Priority: 2, Value: 2600,
				ModelTime: 60 * time.Millisecond, Stages: tag,
			},
		},
	}
}

// Repairs returns a deployment modelled on Vordach: most requests use three pools, whose results are large.
func Repairs() Setup {
	chat := []Stage{
		{Pool: "parts", Pieces: 1, Bytes: 8 * kilobyte, WorkFactor: 0.3},
		{Pool: "bills", After: []int{0}, Pieces: 8, Bytes: 60 * kilobyte},
		{Pool: "people", After: []int{1}, Pieces: 6, Bytes: 6 * kilobyte},
	}
	quote := []Stage{
		{Pool: "parts", Pieces: 1.5, Share: 0.4, Bytes: 800 * kilobyte},
		{Pool: "parts", Pieces: 1, Bytes: 8 * kilobyte, WorkFactor: 0.3},
		{Pool: "bills", After: []int{1}, Pieces: 8, Bytes: 60 * kilobyte},
		{Pool: "people", After: []int{2}, Pieces: 6, Bytes: 6 * kilobyte},
	}
	return Setup{
		Domains: []id.FailureDomain{"north", "south", "linz"}, Nodes: 1,
		Pools: []Pool{
			newPool("parts", 18, 11*time.Millisecond, 22*megabyte),
			newPool("bills", 78, 2600*time.Microsecond, 8700*kilobyte),
			newPool("people", 60, 3400*time.Microsecond, 650*kilobyte),
		},
		Routes: []Route{
			{
				Name: "quote", Rate: 18.1, Objective: 2300 * time.Millisecond, Deadline: 15 * time.Second, Priority: 1, Value: 15800,
				ModelTime: 200 * time.Millisecond, Stages: quote,
			},
			{
				Name: "chat", Rate: 38.4, Objective: 1900 * time.Millisecond, Deadline: 12 * time.Second, Value: 3700,
				ModelTime: 60 * time.Millisecond, Stages: chat,
			},
			{
				Name: "photo", Rate: 30.7, Objective: 870 * time.Millisecond, Deadline: 4 * time.Second, Priority: 2, Value: 2600,
				ModelTime: 60 * time.Millisecond, Stages: []Stage{{Pool: "parts", Pieces: 2.5, Share: 0.7, Bytes: 800 * kilobyte}},
			},
		},
	}
}

// quotePool returns a pool of the deployment of Quotes.
func quotePool(name id.Pool, servers []int, maxBatch int, pieceTime time.Duration, memory int64) Pool {
	const callTime = 150 * time.Millisecond
	return Pool{Servers: servers, Pool: catalog.Pool{Name: name, Pieces: &catalog.Pieces{
		MaxCalls: 1, MaxQueuedCalls: 2, MaxBatch: maxBatch, CallTime: callTime, PieceTime: pieceTime, ResultMemory: memory, ResultTTL: resultTTL,
	}}}
}

// Quotes returns a deployment in which few servers keep large results: surveys that are read by the model at once, and chats
// that read theirs only after three further stages.
func Quotes() Setup {
	note := []Stage{
		{Pool: "stock", Pieces: 1, Bytes: 8 * kilobyte, WorkFactor: 0.3},
		{Pool: "invoices", After: []int{0}, Pieces: 8, Bytes: 60 * kilobyte},
		{Pool: "crews", After: []int{1}, Pieces: 16, Bytes: 6 * kilobyte},
	}
	chat := []Stage{
		{Pool: "stock", Pieces: 1.5, Share: 0.4, Bytes: 3 * megabyte},
		{Pool: "stock", Pieces: 1, Bytes: 8 * kilobyte, WorkFactor: 0.3},
		{Pool: "invoices", After: []int{1}, Pieces: 8, Bytes: 60 * kilobyte},
		{Pool: "crews", After: []int{2}, Pieces: 16, Bytes: 6 * kilobyte},
	}
	return Setup{
		Domains: []id.FailureDomain{"a", "b", "c"}, Nodes: 1, SamePriority: true,
		Pools: []Pool{
			quotePool("stock", []int{1, 1, 1}, 8, 16*time.Millisecond, 42*megabyte),
			quotePool("invoices", []int{2, 2, 1}, 22, 5800*time.Microsecond, 4*megabyte),
			quotePool("crews", []int{2, 2, 1}, 46, 2800*time.Microsecond, 810*kilobyte),
		},
		Routes: []Route{
			{
				Name: "survey", Rate: 10.5, Objective: 1300 * time.Millisecond, Deadline: 6 * time.Second, Priority: 1, Value: 11000, Worth: 3.8,
				ModelTime: 300 * time.Millisecond, Stages: []Stage{{Pool: "stock", Pieces: 2.5, Share: 0.7, Bytes: 3 * megabyte}},
			},
			{
				Name: "note", Rate: 13, Objective: 1700 * time.Millisecond, Deadline: 6 * time.Second, Value: 3100, Worth: 2.1,
				ModelTime: 100 * time.Millisecond, Stages: note,
			},
			{
				Name: "chat", Rate: 13.2, Objective: 1600 * time.Millisecond, Deadline: 15 * time.Second, Priority: 2, Value: 9800, Worth: 0.47,
				ModelTime: 100 * time.Millisecond, Stages: chat,
			},
		},
	}
}

// ScaleUp multiplies the request rates and the number of servers by factor. It modifies s and returns it.
func ScaleUp(s Setup, factor int) Setup {
	for i := range s.Routes {
		s.Routes[i].Rate *= float64(factor)
	}
	for i := range s.Pools {
		for j := range s.Pools[i].Servers {
			s.Pools[i].Servers[j] *= factor
		}
	}
	return s
}
