package stagesim_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/batch"
	"bluebellflow/lab/stagesim"
)

const (
	runLength = 30 * time.Second
	// minShareNormal and minShareDegraded are the shares of requests answered before their deadline that docs/design.md
	// requires under the usual load and under faults or bursts.
	minShareNormal   = 0.99
	minShareDegraded = 0.95
)

// setups are deployments modelled on those of the users.
var setups = map[string]func() stagesim.Setup{"library": stagesim.Library, "repairs": stagesim.Repairs}

// run simulates a deployment for runLength, with faults if not nil.
func run(s stagesim.Setup, faults func(*stagesim.Simulation)) *stagesim.Simulation {
	sim := stagesim.New(1, s)
	if faults != nil {
		faults(sim)
	}
	sim.Run(runLength)
	return sim
}

func logOutcomes(t *testing.T, name string, sim *stagesim.Simulation) {
	total := sim.Total()
	t.Logf("%s: objective met %.3f, answered %.3f, %d calls, %.1f pieces per call, %.0f of %.0f MB across failure domains, %d pieces out of memory", name,
		total.Attainment(), total.AnsweredShare(), sim.Calls, float64(sim.Pieces)/float64(sim.Calls), float64(sim.CrossDomainBytes)/1e6, float64(sim.FetchedBytes)/1e6, sim.OutOfMemory)
}

// TestSingleLeader runs the usual load. Calls have a fixed cost, and no single node has enough pieces to fill them. The test
// guards against calls with too few pieces to keep up with the load.
func TestSingleLeader(t *testing.T) {
	for name, setup := range setups {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			single := run(setup(), nil)
			logOutcomes(t, "one leader", single)
			g.Expect(single.Total().AnsweredShare()).To(BeNumerically(">=", minShareNormal))
			g.Expect(single.Total().Attainment()).To(BeNumerically(">=", minShareNormal))
			nineLeaders := setup()
			nineLeaders.Nodes = 9
			separate := run(nineLeaders, nil)
			logOutcomes(t, "each node on its own", separate)
			g.Expect(separate.Total().Attainment()).To(BeNumerically("<", single.Total().Attainment()/2), "the usual load can be met without a leader")
		})
	}
}

// TestBurst multiplies the rate of one kind of request by 2.4. It guards against queues in which requests that could have met
// their objective wait until it is past.
func TestBurst(t *testing.T) {
	for name, setup := range setups {
		for _, r := range setup().Routes {
			t.Run(name+" "+r.Name, func(t *testing.T) {
				g := NewWithT(t)
				s := setup()
				sim := run(s, func(sim *stagesim.Simulation) { sim.Burst(r.Name, 2.4, 8*time.Second, 14*time.Second) })
				logOutcomes(t, "by slack", sim)
				g.Expect(sim.Total().AnsweredShare()).To(BeNumerically(">=", minShareDegraded))
				s.Options = []batch.Option{batch.WithFIFO()}
				fifo := run(s, func(sim *stagesim.Simulation) { sim.Burst(r.Name, 2.4, 8*time.Second, 14*time.Second) })
				logOutcomes(t, "in order of arrival", fifo)
				g.Expect(sim.Total().Attainment()).To(BeNumerically(">=", fifo.Total().Attainment()-0.01))
			})
		}
	}
}

// TestFewerServers crashes, silences or slows down two of the five servers of a pool, followed by a burst. It guards against pieces
// that wait for such servers while others are free.
func TestFewerServers(t *testing.T) {
	faultKinds := map[string]func(sim *stagesim.Simulation, p *stagesim.Pool){
		"crashed": func(sim *stagesim.Simulation, p *stagesim.Pool) {
			sim.Crash(p.Name, 2, 9*time.Second, 4*time.Second, false)
		},
		"silent": func(sim *stagesim.Simulation, p *stagesim.Pool) {
			sim.Crash(p.Name, 2, 9*time.Second, 4*time.Second, true)
		},
		"slow": func(sim *stagesim.Simulation, p *stagesim.Pool) {
			sim.SlowDown(p.Name, 2, 5, 9*time.Second, 4*time.Second)
		},
	}
	for name, setup := range setups {
		for kind, faults := range faultKinds {
			for i := range setup().Pools {
				s := setup()
				pool := &s.Pools[i]
				t.Run(name+" "+kind+" "+string(pool.Name), func(t *testing.T) {
					sim := run(s, func(sim *stagesim.Simulation) {
						faults(sim, pool)
						sim.Burst(s.Routes[1].Name, 1.5, 12*time.Second, 16*time.Second)
					})
					logOutcomes(t, kind, sim)
					NewWithT(t).Expect(sim.Total().AnsweredShare()).To(BeNumerically(">=", minShareDegraded))
				})
			}
		}
	}
}

// TestReducedResultMemory runs the usual load with six tenths of the result memory. It guards against pieces sent to servers
// without memory for their results, and against results that are kept after they were read.
func TestReducedResultMemory(t *testing.T) {
	s := stagesim.Repairs()
	for i := range s.Pools {
		s.Pools[i].Pieces.ResultMemory = s.Pools[i].Pieces.ResultMemory * 6 / 10
	}
	g := NewWithT(t)
	sim := run(s, nil)
	logOutcomes(t, "six tenths of the result memory", sim)
	g.Expect(sim.Total().AnsweredShare()).To(BeNumerically(">=", minShareNormal))
	g.Expect(float64(sim.OutOfMemory)/float64(sim.Pieces)).To(BeNumerically("<", 0.02), "share of pieces out of memory")
}

// TestCrossDomainTraffic runs stages that read large results. It guards against transfers between failure domains that a short
// wait would have avoided.
func TestCrossDomainTraffic(t *testing.T) {
	for name, setup := range setups {
		t.Run(name, func(t *testing.T) {
			sim := run(setup(), nil)
			logOutcomes(t, name, sim)
			NewWithT(t).Expect(float64(sim.CrossDomainBytes)/float64(sim.FetchedBytes)).To(BeNumerically("<", 0.05), "share of bytes that crossed failure domains")
		})
	}
}

// TestCapacityLoss stops three of the five servers of every pool for eight seconds. It guards against capacity that is spread
// over all requests in the order of their objectives: more of them would start than can end in time, and those with the highest
// value for their work would miss their objectives.
func TestCapacityLoss(t *testing.T) {
	for name, setup := range setups {
		t.Run(name, func(t *testing.T) {
			withOutage := func(opts ...batch.Option) *stagesim.Simulation {
				s := setup()
				s.Options = opts
				return run(s, func(sim *stagesim.Simulation) {
					for _, p := range s.Pools {
						sim.Crash(p.Name, 3, 8*time.Second, 8*time.Second, false)
					}
				})
			}
			withoutClasses, classes := withOutage(batch.WithoutClasses()), withOutage()
			logOutcomes(t, "without classes", withoutClasses)
			logOutcomes(t, "by class", classes)
			NewWithT(t).Expect(classes.WeightedAttainment()).To(BeNumerically(">", withoutClasses.WeightedAttainment()+0.03), "weighted attainment")
		})
	}
}

// TestRecoveryAfterCapacityLoss starts with the queue that an outage of servers has left. It guards against a scheduler that
// keeps missing objectives although enough servers are available again.
func TestRecoveryAfterCapacityLoss(t *testing.T) {
	for name, setup := range setups {
		t.Run(name, func(t *testing.T) {
			sim := run(setup(), func(sim *stagesim.Simulation) {
				for _, p := range sim.Pools {
					sim.Crash(p.Name, 3, 6*time.Second, 6*time.Second, false)
				}
				sim.At(14*time.Second, sim.ResetOutcomes)
			})
			logOutcomes(t, "from two seconds after the outage", sim)
			NewWithT(t).Expect(sim.WeightedAttainment()).To(BeNumerically(">=", minShareDegraded), "weighted attainment")
		})
	}
}

// TestLeaderChanges replaces the leader four times under load. It guards against former leaders whose calls are queued ahead of
// those of the new leader, at servers whose result memory each leader counts as its own.
func TestLeaderChanges(t *testing.T) {
	const nodes, period = 5, 2 * time.Second
	for name, setup := range setups {
		t.Run(name, func(t *testing.T) {
			rolling := func(handover bool) *stagesim.Simulation {
				s := setup()
				s.Nodes = nodes
				return run(s, func(sim *stagesim.Simulation) {
					sim.SetLeader(0, handover)
					sim.Burst(s.Routes[1].Name, 2, 6*time.Second, 12*time.Second)
					for i := 1; i < nodes; i++ {
						sim.At(4*time.Second+time.Duration(i)*period, func() { sim.SetLeader(i, handover) })
					}
				})
			}
			without, with := rolling(false), rolling(true)
			logOutcomes(t, "without handover", without)
			logOutcomes(t, "with handover", with)
			g := NewWithT(t)
			g.Expect(with.Total().AnsweredShare()).To(BeNumerically(">=", minShareDegraded))
			g.Expect(with.WeightedAttainment()).To(BeNumerically(">", without.WeightedAttainment()))
		})
	}
}

// TestLeaderCrash kills two leaders one after the other. It guards against a takeover that costs more than the time until the
// failure is noticed, and against pieces that fail because results of the former leader still occupy the result memory.
func TestLeaderCrash(t *testing.T) {
	for name, setup := range setups {
		t.Run(name, func(t *testing.T) {
			s := setup()
			s.Nodes = 3
			sim := run(s, func(sim *stagesim.Simulation) {
				sim.SetLeader(0, true)
				sim.At(8*time.Second, func() { sim.KillLeader(0, 1) })
				sim.At(16*time.Second, func() { sim.KillLeader(1, 2) })
			})
			logOutcomes(t, "two leaders killed", sim)
			g := NewWithT(t)
			g.Expect(sim.Total().AnsweredShare()).To(BeNumerically(">=", minShareDegraded))
			g.Expect(float64(sim.OutOfMemory)/float64(sim.Pieces)).To(BeNumerically("<", 0.02), "share of pieces out of memory")
		})
	}
}

// TestOverloadWithReducedMemory runs twice the usual load with result memory for less than half of a full call. It guards
// against an admission that assumes full calls, so that most of the requests it accepts miss their objective.
func TestOverloadWithReducedMemory(t *testing.T) {
	const minAttainment = 0.5 // half of the value of the requests, at twice the usual load
	for name, setup := range setups {
		t.Run(name, func(t *testing.T) {
			s := setup()
			for i := range s.Pools {
				s.Pools[i].Pieces.ResultMemory = s.Pools[i].Pieces.ResultMemory * 4 / 10
			}
			sim := run(s, func(sim *stagesim.Simulation) {
				for _, r := range s.Routes {
					sim.Burst(r.Name, 2, 4*time.Second, 24*time.Second)
				}
			})
			logOutcomes(t, "four tenths of the result memory", sim)
			NewWithT(t).Expect(sim.WeightedAttainment()).To(BeNumerically(">=", minAttainment), "weighted attainment")
		})
	}
}

// TestDeterministic guards against decisions that depend on the iteration order of a map, which would make a run impossible to
// repeat from its seed.
func TestDeterministic(t *testing.T) {
	g := NewWithT(t)
	withOutage := func() stagesim.Outcomes {
		return run(stagesim.Repairs(), func(sim *stagesim.Simulation) {
			for _, p := range sim.Pools {
				sim.Crash(p.Name, 3, 8*time.Second, 8*time.Second, false)
			}
		}).Total()
	}
	first := withOutage()
	for range 3 {
		g.Expect(withOutage()).To(Equal(first))
	}
}
