package scheduling_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/thymeloft/thymeloft/internal/callerapi"
	"github.com/thymeloft/thymeloft/internal/identity"
)

const (
	loadSeed          = 11
	programCount      = 200
	dossierCount      = 8
	turnsPerProgram   = 5
	maxStartDelay     = 8 * time.Second
	minAnswerTokens   = 40
	answerTokenSpread = 120
	maxPause          = 300 * time.Millisecond
	p95Fraction       = 0.95
)

// loadMeasurements are the results of a load. They are safe for concurrent use while
// the load runs.
type loadMeasurements struct {
	mutex        sync.Mutex
	latencies    map[string][]time.Duration // of whole programs, by class
	ended        int
	refused      int
	promptTokens int64
	cachedTokens int64
}

func (m *loadMeasurements) String() string {
	all := slices.Concat(m.latencies["interactive"], m.latencies["standard"], m.latencies["batch"])
	return fmt.Sprintf("p95 program latency %v (interactive %v, standard %v, batch %v); %d of %d prompt tokens cached; %d refusals",
		p95(all), p95(m.latencies["interactive"]), p95(m.latencies["standard"]), p95(m.latencies["batch"]),
		m.cachedTokens, m.promptTokens, m.refused)
}

func p95(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(p95Fraction*float64(len(sorted)-1))].Round(time.Millisecond)
}

// loadProgram is one program of the load. All are drawn before the load starts, so
// that a seed always gives the same requests.
type loadProgram struct {
	class        string
	startDelay   time.Duration
	dossier      int
	answerTokens [turnsPerProgram]int
	pauses       [turnsPerProgram]time.Duration
}

func drawLoad() []loadProgram {
	random := rand.New(rand.NewPCG(loadSeed, loadSeed))
	classes := []string{"interactive", "standard", "batch"}
	programs := make([]loadProgram, programCount)
	for index := range programs {
		programs[index].class = classes[random.IntN(len(classes))]
		programs[index].startDelay = time.Duration(random.Int64N(int64(maxStartDelay)))
		programs[index].dossier = random.IntN(dossierCount)
		for turn := range turnsPerProgram {
			programs[index].answerTokens[turn] = minAnswerTokens + random.IntN(answerTokenSpread)
			programs[index].pauses[turn] = time.Duration(random.Int64N(int64(maxPause)))
		}
	}
	return programs
}

// runLoad runs all programs of the load and waits until they have ended.
func runLoad(client *caller) *loadMeasurements {
	measurements := &loadMeasurements{latencies: make(map[string][]time.Duration)}
	var programs sync.WaitGroup
	for index, program := range drawLoad() {
		programs.Go(func() {
			defer GinkgoRecover()
			time.Sleep(program.startDelay)
			measurements.runProgram(client, index, &program)
		})
	}
	programs.Wait()
	return measurements
}

func (m *loadMeasurements) runProgram(client *caller, index int, program *loadProgram) {
	started := time.Now()
	id := client.create(numberedName("load", index), program.class)
	for turn := range turnsPerProgram {
		question := fmt.Sprintf("program %d tokens=%d", index, program.answerTokens[turn])
		m.ask(client, id, uint64(turn+1), program, question)
		time.Sleep(program.pauses[turn])
	}
	client.end(id)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.ended++
	m.latencies[program.class] = append(m.latencies[program.class], time.Since(started))
}

// ask makes a call. The first call of a program contains its dossier, which several
// programs share.
func (m *loadMeasurements) ask(client *caller, id identity.Program, sequence uint64, program *loadProgram, question string) {
	request := modelCall(question)
	if sequence == 1 {
		shared := callerapi.Message{Role: "system", Content: dossier(program.dossier)}
		request.Messages = append([]callerapi.Message{shared}, request.Messages...)
	}
	status := client.send(http.MethodPost, callPath(id, sequence), request, nil)
	if status == http.StatusOK {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.refused++
	AddReportEntry("not answered", status)
}
