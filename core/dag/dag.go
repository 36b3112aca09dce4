package dag

import "errors"

// ErrCycle means that some things depend on each other, directly or through others.
var ErrCycle = errors.New("depend on each other")

// Order returns the numbers 0 to n-1 in an order in which each one follows all that it depends on; after returns these. They
// must be numbers below n. Numbers that already are in order stay as they are.
func Order[N ~int | ~uint32](n int, after func(int) []N) ([]int, error) {
	order := make([]int, 0, n)
	placed := make([]bool, n)
	for len(order) < n {
		before := len(order)
		for i := range n {
			if !placed[i] && allPlaced(placed, after(i)) {
				placed[i] = true
				order = append(order, i)
			}
		}
		if len(order) == before {
			return nil, ErrCycle
		}
	}
	return order, nil
}

func allPlaced[N ~int | ~uint32](placed []bool, list []N) bool {
	for _, i := range list {
		if !placed[i] {
			return false
		}
	}
	return true
}
