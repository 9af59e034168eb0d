package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// pipelineShape is the dependency graph of a pipeline.
type pipelineShape struct {
	name      string
	dependsOn [][]int // by stage, the stages that it depends on
}

var pipelineShapes = []pipelineShape{
	{"chain", [][]int{{}, {0}, {1}, {2}, {3}}},
	{"diamond", [][]int{{}, {0}, {0}, {1, 2}, {3}}},
	{"several ancestors", [][]int{{}, {}, {}, {0, 1, 2}, {3, 0}}},
}

// submitPipeline submits a pipeline of jobs with two tasks, each after the jobs that it depends on
// have been accepted. The pipeline's number is part of its job IDs.
func (c *cluster) submitPipeline(shape pipelineShape, number int) (jobs []*wire.Job) {
	c.t.Helper()
	jobID := func(stage int) string { return fmt.Sprintf("job-0%04d%d", number, stage) }
	for stage, parents := range shape.dependsOn {
		j := fake.NewJob(jobID(stage), 2, nil)
		for _, parent := range parents {
			j.DependsOn = append(j.DependsOn, jobID(parent))
		}
		if !c.users.SubmitAndAwait(j) {
			c.t.Errorf("job %s of pipeline %q was not accepted", j.ID, shape.name)
		}
		c.users.Poll(j)
		jobs = append(jobs, j)
	}
	return jobs
}

// TestCancelledPipelines cancels the first job of pipelines of several shapes, at moments from its
// submission to after the end of its last task, while faults occur. Either all jobs that depend on
// it are cancelled as well and stay cancelled, or the response is that it is done and they continue.
func TestCancelledPipelines(t *testing.T) {
	faults := []struct {
		name   string
		inject func(c *cluster)
	}{
		{"no fault", func(*cluster) {}},
		{"the leader restarts after 4 s", func(c *cluster) { c.restart(c.leader(), 4*time.Second) }},
		{"the leader restarts after 200 ms", func(c *cluster) { c.restart(c.leader(), 200*time.Millisecond) }},
		{"all controllers restart", func(c *cluster) {
			for i := range c.controllers {
				c.kill(i)
			}
			time.Sleep(3 * time.Second)
			c.startAll()
		}},
		{"the key-value store is unavailable", func(c *cluster) {
			c.store.SetOutage(true)
			time.Sleep(50 * time.Second)
			c.store.SetOutage(false)
		}},
		{"responses to writes are lost, then the store is unavailable", func(c *cluster) {
			c.writeFaults.Store(c.randomFaults(1, fake.ResponseLost, 0, 0))
			time.Sleep(2 * time.Second)
			c.store.SetOutage(true)
			c.writeFaults.Store(nil)
			time.Sleep(50 * time.Second)
			c.store.SetOutage(false)
		}},
		{"the key-value store refuses only the leader", func(c *cluster) {
			leader := c.leader()
			c.store.SetRefused(c.controllerName(leader), true)
			time.Sleep(20 * time.Second)
			c.store.SetRefused(c.controllerName(leader), false)
		}},
	}
	// A job's tasks run for 8 s and start about 6 s after its submission, when machines have booted.
	moments := []time.Duration{0, 3 * time.Second, 12 * time.Second, 13500 * time.Millisecond, 14 * time.Second, 14500 * time.Millisecond, 15 * time.Second, 20 * time.Second}
	for _, shape := range pipelineShapes {
		for _, fault := range faults {
			t.Run(shape.name+", "+fault.name, func(t *testing.T) {
				runScenarioOnce(t, clusterConfig{maxMachines: 30}, false, func(c *cluster) {
					time.Sleep(5 * time.Second) // all controllers have announced their capabilities
					var pipelines [][]*wire.Job
					for i := range moments {
						pipelines = append(pipelines, c.submitPipeline(shape, i))
					}
					began := time.Now()
					for i, moment := range moments {
						time.Sleep(time.Until(began.Add(moment)))
						first := pipelines[i][0]
						// Requests to all controllers within a millisecond, then repeated until the
						// final response.
						for i := range c.controllers {
							c.users.Go(func() { c.users.Call(i, fake.RequestCancel, first.ID, nil) })
						}
						c.users.Cancel(first)
						if i == len(moments)/2 {
							c.users.Go(func() { fault.inject(c) })
						}
						c.queryPipeline(pipelines[i])
					}
					time.Sleep(70 * time.Second)
					outcomes := c.checkPipelineOutcomes(pipelines)
					if fault.name == "no fault" && (outcomes[wire.JobDone] == 0 || outcomes[wire.JobCancelled] == 0) {
						t.Errorf("outcomes are only %v, want both done and cancelled pipelines", outcomes)
					}
				})
			})
		}
	}
}

// queryPipeline queries all jobs of a pipeline at all controllers.
func (c *cluster) queryPipeline(jobs []*wire.Job) {
	for _, j := range jobs {
		c.users.Go(func() { c.users.QueryEverywhere(j.ID, j) })
	}
}

// checkPipelineOutcomes checks that all jobs that depend on a pipeline's first job have the same
// outcome as that job, done or cancelled, and counts pipelines by outcome.
func (c *cluster) checkPipelineOutcomes(pipelines [][]*wire.Job) map[string]int {
	c.t.Helper()
	outcomes := map[string]int{}
	for _, jobs := range pipelines {
		_, want := c.users.RetryUntilFinal(fake.RequestCancel, jobs[0].ID, nil)
		outcomes[want]++
		for _, j := range jobs {
			if dependsOnJob(jobs, j, jobs[0].ID) {
				c.await(j.ID+" is "+want, 2*time.Minute, func() bool {
					_, status := c.users.Call(c.users.AnyController(), fake.RequestStatus, j.ID, nil)
					return status == want
				})
			}
		}
	}
	return outcomes
}

// dependsOnJob reports whether a job depends on another one, directly or through others.
func dependsOnJob(jobs []*wire.Job, j *wire.Job, jobID string) bool {
	for _, parentID := range j.DependsOn {
		if parentID == jobID {
			return true
		}
		for _, parent := range jobs {
			if parent.ID == parentID && dependsOnJob(jobs, parent, jobID) {
				return true
			}
		}
	}
	return false
}

// TestMalformedLedger: values that can't be decoded, whoever wrote them, affect only their own keys.
// The controllers still elect a leader and serve requests. A job whose record can't be decoded is not
// reported as unknown, and one whose hosts can't be decoded still runs.
func TestMalformedLedger(t *testing.T) {
	open := `{"job":{"ref":"job-800001","lane":"c","owner":"open","shape":"batch","urgency":"high","pieces":2,"vcpus":1,"gpus":0,"mem_gb":2,` +
		`"bundle":"i","size_gb":0.5,"flavors":null,"room":null,"together":false,"spread":false,"loaners":true,"guess_s":8,"snapshot_s":0,"flush_s":0,"due_s":null},"accepted_ms":946684790123}`
	ledger := map[string]string{
		"job/job-800001": open, "host/job-800001/0": `{"not":"a list"}`, "fin/job-800001/0": `"nor this"`,
		"job/job-800002": `{"job":{"ref":"job-800002","pieces":-7}}`, "job/job-800003": `[]`, "host/job-800002/0": `["vm-900001"]`,
		"hire/h3-1": `{}`, "silent/3-1": `7`, "node/n1": `"none"`, "fence": `{}`, "gone/vm-900002": `{}`,
	}
	runScenario(t, clusterConfig{ledger: ledger}, func(c *cluster) {
		c.checker.RecordSubmission(fake.NewJob("job-800001", 2, nil), true)
		c.users.Call(0, fake.RequestStatus, "job-800001", nil)
		c.submitJobs(0, 5, time.Second, nil)
		for i := range c.controllers {
			for _, jobID := range []string{"job-800002", "job-800003"} {
				if code, _ := c.users.Call(i, fake.RequestStatus, jobID, nil); code < 500 && code != 0 {
					t.Errorf("query of %s, whose record can't be decoded: %d at %s, want 5xx or no response", jobID, code, c.controllerName(i))
				}
			}
		}
		c.await("completion of the job with undecodable hosts", 2*time.Minute, func() bool {
			_, status := c.users.Call(c.users.AnyController(), fake.RequestStatus, "job-800001", nil)
			return status == wire.JobDone
		})
		// An operator removes the keys that can't be decoded.
		for key := range ledger {
			if strings.HasPrefix(key, "host/") || strings.HasPrefix(key, "fin/") {
				c.store.Remove(key)
			}
		}
	})
}
