package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/workload"
)

// Range and significant digits of the histograms. Values are in milliseconds.
const (
	minHistogramMillis = 1
	maxHistogramMillis = int64(4 * time.Hour / time.Millisecond)
	histogramDigits    = 3
)

// measures are the results of one run.
type measures struct {
	programs         *hdrhistogram.Histogram // latency of root programs
	ownTime          *hdrhistogram.Histogram // latency of root programs without their own pauses
	ideal            *hdrhistogram.Histogram // latency of the same programs as computed by idealLatency
	firstToken       *hdrhistogram.Histogram // time from the first sending of each call to its first token
	openPrograms     int                     // root programs that have not ended; 0 at the end
	abandoned        int                     // root programs that their callers abandoned
	refused          int                     // refusals of calls
	copiesRun        int                     // copies of calls that were sent to the daemons
	promptTokens     int64
	cachedTokens     int64
	wastedTokens     int64                         // prompt tokens computed although another engine had them cached
	evictedTokens    int64                         // prompt tokens computed again that no engine had cached any more
	reasons          map[string]int                // number of placements by reason; empty with baselines
	slowdowns        map[identity.Tenant][]float64 // latency divided by idealLatency, for each completed root program
	queueSamples     []float64                     // number of waiting calls, every sampleInterval
	peakQueue        [2]float64                    // mean of queueSamples in the first and second half of the peak
	fairness         float64                       // Jain's index of the tenants' mean slowdowns
	worstTenantRatio float64                       // greatest mean slowdown of a tenant divided by the smallest
}

// prepare creates the histograms and maps.
func (m *measures) prepare() {
	for _, histogram := range []**hdrhistogram.Histogram{&m.programs, &m.ownTime, &m.ideal, &m.firstToken} {
		*histogram = hdrhistogram.New(minHistogramMillis, maxHistogramMillis, histogramDigits)
	}
	m.reasons = make(map[string]int)
	m.slowdowns = make(map[identity.Tenant][]float64)
}

// record adds a duration. A value outside the range of the histogram is recorded as
// the nearest bound.
func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	milliseconds := min(max(value.Milliseconds(), minHistogramMillis), maxHistogramMillis)
	_ = histogram.RecordValue(milliseconds) // cannot fail for a value in range
}

// recordProgramEnd records the end of a root program that was not abandoned.
func (m *measures) recordProgramEnd(trace *workload.Trace, program *programRun, latency time.Duration) {
	record(m.programs, latency)
	record(m.ownTime, latency-program.TotalPause())
	ideal := idealLatency(trace, program.Program)
	record(m.ideal, ideal)
	m.slowdowns[program.Tenant] = append(m.slowdowns[program.Tenant], latency.Seconds()/ideal.Seconds())
}

// idealLatency returns the latency that a program would have if it were alone on
// the engine with the fastest decoding, and its history stayed cached between
// turns.
func idealLatency(trace *workload.Trace, program *workload.Program) time.Duration {
	fastest := trace.Engines[0]
	for _, engine := range trace.Engines {
		if engine.DecodePerSec > fastest.DecodePerSec {
			fastest = engine
		}
	}
	total := float64(program.SharedTokens()) / fastest.PrefillPerSec
	ideal := time.Duration(0)
	for _, turn := range program.Turns {
		total += float64(turn.PromptTokens)/fastest.PrefillPerSec + float64(turn.OutputTokens)/fastest.DecodePerSec
		longest := time.Duration(0)
		for _, child := range turn.Children {
			longest = max(longest, idealLatency(trace, &trace.Programs[child]))
		}
		ideal += turn.Pause + longest
	}
	return ideal + time.Duration(total*float64(time.Second))
}

// finish computes the measures that depend on the whole run.
func (m *measures) finish(r *run) {
	m.peakQueue = m.peakHalfMeans(r.trace)
	var means []float64
	for _, slowdowns := range m.slowdowns {
		means = append(means, mean(slowdowns))
	}
	slices.Sort(means)
	if len(means) > 0 {
		m.fairness = jainIndex(means)
		m.worstTenantRatio = means[len(means)-1] / means[0]
	}
}

// peakHalfMeans returns the mean number of waiting calls in the first and second
// half of the peak.
func (m *measures) peakHalfMeans(trace *workload.Trace) [2]float64 {
	from := int(trace.PeakFrom / sampleInterval)
	to := min(int(trace.PeakTo/sampleInterval), len(m.queueSamples))
	middle := min((from+int(trace.PeakTo/sampleInterval))/2, to)
	if from >= to {
		return [2]float64{}
	}
	return [2]float64{mean(m.queueSamples[from:middle]), mean(m.queueSamples[middle:to])}
}

// isQueueGrowing reports whether the queue grows during the peak: the mean number
// of waiting calls in its second half is at least 1.5 times that in the first,
// and at least one for every two engines.
func (m *measures) isQueueGrowing(engines int) bool {
	const growth = 1.5
	return m.peakQueue[1] >= growth*m.peakQueue[0] && m.peakQueue[1] >= float64(engines)/2
}

// jainIndex returns Jain's fairness index, which is 1 if all values are equal.
func jainIndex(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, value := range values {
		sum += value
		squares += value * value
	}
	return sum * sum / (float64(len(values)) * squares)
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
