package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Software versions of the engines. With each oneVersionPeriod-th seed all engines run the first one.
var softwareVersions = []string{"v1", "v2", "v3"}

const (
	oneVersionPeriod = 3
	// initialPerVersion is the number of engines of each of the first two versions at the start.
	initialPerVersion = 2
)

// versionDrawer draws the software versions of engines.
type versionDrawer struct {
	random *rand.Rand
	isOne  bool // all engines run the first version
	drawn  int
}

func newVersionDrawer(seed uint64) *versionDrawer {
	return &versionDrawer{random: newStream(seed, versionStream), isOne: seed%oneVersionPeriod == 0}
}

// next returns the version of the next engine.
func (v *versionDrawer) next() string {
	v.drawn++
	switch {
	case v.isOne || v.drawn <= initialPerVersion:
		return softwareVersions[0]
	case v.drawn <= 2*initialPerVersion:
		return softwareVersions[1]
	default:
		return softwareVersions[v.random.IntN(len(softwareVersions))]
	}
}

// lifetime is when an instance served: from its first entry until it began to leave or ended.
type lifetime struct {
	service, version string
	from, until      time.Time // until is zero while it serves
	silentSince      time.Time // zero: it didn't fall silent
	unlistedSince    time.Time // zero: its entry is in the table
}

// covers reports whether the instance served throughout the given time.
func (l lifetime) covers(from, until time.Time) bool {
	return !l.from.After(from) && (l.until.IsZero() || !l.until.Before(until))
}

// versionSeparator separates the data of an event from the version of the engine that made it.
const versionSeparator = "@"

// resumableEvents returns the data of the events that answer a prompt on the resumable route, without
// the version. Unlike those of other routes they are the same for each attempt.
func resumableEvents(prompt string) []string {
	const minEvents = 4
	digest := fnv.New64a()
	_, _ = io.WriteString(digest, prompt)
	var events []string
	for index := range minEvents + int(digest.Sum64()%(maxEvents-minEvents+1)) {
		events = append(events, fmt.Sprintf("%x.%d", digest.Sum64(), index))
	}
	return events
}

// Shares of the streams on the resumable route that an engine breaks off although it has no fault.
const (
	cutStreamShare  = 0.3 // of those that start from the beginning
	cutResumedShare = 0.1
)

// streamResumable sends the events that the caller does not have yet.
func (i *instance) streamResumable(writer http.ResponseWriter, request *http.Request, prompt string) {
	received, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // 0 if the stream starts from its beginning
	events := resumableEvents(prompt)
	share := cutStreamShare
	if received > 0 {
		share = cutResumedShare
	}
	if rand.Float64() < unframedShare {
		i.sendUnframed(writer, request.Header.Get("Request-Id"), mediaTypeEvents, eventTexts(events, received, versionSeparator+i.version), share)
		return
	}
	cutAt := len(events)
	if rand.Float64() < share {
		cutAt = received + 1 + rand.IntN(maxEvents)
	}
	for index := received; index < len(events); index++ {
		waitForEvent(request)
		if index == cutAt {
			_, _ = io.WriteString(writer, "id: 9\nda")
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}
		writeEvent(writer, index, events[index]+versionSeparator+i.version)
	}
}

// sendResumableTurn sends the next turn of a conversation on a resumable route until it is completely
// answered, and takes its stream up, at any gateway, if it breaks. If a gateway refuses that without a
// time to retry, it sends the turn anew. It returns false if it gives up.
func (c *caller) sendResumableTurn(ctx context.Context, conv *conversation) bool {
	const attempts, nameOriginIn = 2 * maxAttempts, 5 // one in nameOriginIn resumptions names no origin
	input := fmt.Sprintf("[input %d of %s]", c.drawInt(1<<20), conv.program)
	var began *attempt // the attempt that brought the first event; nil: none yet
	received, content := 0, ""
	for range attempts {
		a := c.newAttempt(conv.kind)
		a.program, a.budget, a.maxTokens, a.input = conv.program, conv.budget, maxTokensPerTurn, input
		a.prompt = conv.history + input
		if conv.kind.isRecorded() && conv.last != nil {
			a.previous = conv.last.id
		}
		if began != nil {
			a.began, a.resumeFrom, a.namesOrigin = began, received, c.drawInt(nameOriginIn) > 0
		}
		c.send(a)
		got := a.usablePart()
		switch {
		case a.status == http.StatusOK && got.events > 0 && began == nil:
			began = a
		case a.status == http.StatusPaymentRequired || a.status == http.StatusNotFound || ctx.Err() != nil:
			return false
		case conv.kind.isRecorded() && a.toPreviousBuild && a.began != nil:
			return false // an earlier build records only the rest of a stream that is taken up
		case a.status == http.StatusServiceUnavailable && a.retryAfter == 0:
			began, received, content = nil, 0, ""
		}
		if a.status == http.StatusOK {
			received, content = received+got.events, content+a.content[:got.bytes]
		}
		if a.complete {
			a.whole = content
			conv.last, conv.history = a, a.prompt+a.whole
			c.retainTurn(a)
			return true
		}
		c.sleep(ctx, int(a.retryAfter.Milliseconds())+c.drawInt(20))
	}
	return false
}

// usablePart returns the part of the answer behind which its caller takes the stream up. Where it is
// recorded, that is the end of an event, since a gateway records no part of one.
func (a *attempt) usablePart() received {
	if a.kind.isRecorded() {
		return a.wholePart
	}
	return received{a.events, len(a.content)}
}

// setResumption sets the headers of an attempt that takes a stream up.
func (a *attempt) setResumption(header http.Header) {
	if a.began == nil {
		return
	}
	header.Set("Last-Event-Id", strconv.Itoa(a.resumeFrom))
	if a.namesOrigin {
		header.Set("Resumes", a.began.id)
	}
}

// readRefusal reads the reason from the body of a refusal.
func (a *attempt) readRefusal(body io.Reader) error {
	var message struct {
		Error string `json:"error"`
	}
	content, err := io.ReadAll(body)
	if err == nil && json.Unmarshal(content, &message) == nil {
		a.reason = message.Error
	}
	return err
}

// versions returns the versions of the engines that made the events of the attempt, each once.
func (a *attempt) versions() (found []string) {
	for line := range strings.Lines(a.content) {
		_, version, hasVersion := strings.Cut(strings.TrimSuffix(line, "\n"), versionSeparator)
		if hasVersion && !slices.Contains(found, version) {
			found = append(found, version)
		}
	}
	return found
}

// withoutVersions returns the received data of the events without the versions.
func (a *attempt) withoutVersions() string {
	content := a.content
	for _, version := range softwareVersions {
		content = strings.ReplaceAll(content, versionSeparator+version, "")
	}
	return content
}
