package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/origin"
	"github.com/thymeloft/thymeloft/internal/softwareversion"
)

// Origins knows which service and software version began a stream.
type Origins interface {
	// Record records the origin of a stream, which may be continued for the given time. It does not
	// wait for other daemons.
	Record(stream origin.Stream, origin origin.Origin, keep time.Duration)
	// Find returns the origin of a stream, or false if it is not known.
	Find(ctx context.Context, stream origin.Stream) (origin.Origin, bool)
}

// SoftwareVersions knows which software versions the engines of a service may have run.
type SoftwareVersions interface {
	// IsRecorded reports whether the version is recorded, so that all daemons take it into account.
	IsRecorded(service, version string) bool
	// Only returns the one version at which streams of the service that are not older than age can
	// have begun. The error is softwareversion.ErrSeveral or wraps softwareversion.ErrUncertain.
	Only(ctx context.Context, service string, age time.Duration) (string, error)
}

// maxConfirmedInstancesAge is the maximum age of the list of instances for concluding from it that no
// instance of a version is left. It exceeds the time between two confirmations.
const maxConfirmedInstancesAge = 2500 * time.Millisecond

// lifetimeInTimeouts is how long after its start a stream may be continued, in timeouts of its route:
// one for the attempt that began it, and one for an attempt that continues it.
const lifetimeInTimeouts = 2

// isResumption reports whether the request continues a stream that may be continued at another
// instance.
func (e *execution) isResumption() bool { return e.route.Resumable && e.call.ResumeFrom != "" }

// bindToOrigin determines the service and the software version that began the stream which the request
// continues, and binds the request to them. It refuses the request if they are not known for sure. It
// does nothing if the request starts a stream. The error is a *Refusal.
func (e *execution) bindToOrigin(ctx context.Context) error {
	if !e.isResumption() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, e.bindingWait())
	defer cancel()
	if e.call.Origin != "" {
		if found, isKnown := e.gateway.Origins.Find(ctx, e.originStream()); isKnown {
			return e.bind(found)
		}
	}
	return e.bindToOnlyOrigin(ctx)
}

// minBindingWait is several times what other daemons and the store need to answer.
const minBindingWait = 100 * time.Millisecond

// bindingWait returns how long the request may wait for answers about the origin of its stream. Unlike
// maxPreparationWait it leaves time for them while the request has time to be sent, since the caller
// of a broken stream often has little left.
func (e *execution) bindingWait() time.Duration {
	return max(e.maxPreparationWait(), min(minBindingWait, e.remaining()-minTimeToSend))
}

// originStream returns the identity of the stream that the request continues.
func (e *execution) originStream() origin.Stream {
	return origin.StreamOf(e.tenantScoped(e.call.Origin))
}

// bind binds the request to the origin, unless the route no longer leads to the origin's service.
func (e *execution) bind(found origin.Origin) error {
	if !e.route.LeadsTo(found.Service) {
		return notRunRefusal(ReasonOriginGone, 0, eris.Errorf("the stream began at service %s, to which the route does not lead", found.Service))
	}
	e.service = e.table.Service(found.Service)
	e.boundVersion = &found.Version
	return nil
}

// bindToOnlyOrigin binds a request whose origin is not known to the route's service and the software
// version of its engines, if there is only one of each.
func (e *execution) bindToOnlyOrigin(ctx context.Context) error {
	if e.route.ServiceCount() > 1 {
		return notRunRefusal(ReasonUnknownOrigin, 0, eris.New("the route has several services"))
	}
	if e.route.Timeout <= 0 {
		return notRunRefusal(ReasonUnknownOrigin, 0, eris.New("the route has no timeout, so the stream may be of any age"))
	}
	if !e.gateway.Availability.Available() {
		return notRunRefusal(ReasonUnknownOrigin, storeRetryAfter, eris.New("the store does not answer"))
	}
	version, err := e.gateway.SoftwareVersions.Only(ctx, e.service.Name, lifetimeInTimeouts*e.route.Timeout)
	switch {
	case errors.Is(err, softwareversion.ErrSeveral):
		return notRunRefusal(ReasonUnknownOrigin, 0, err)
	case err != nil:
		return notRunRefusal(ReasonUnknownOrigin, storeRetryAfter, err)
	}
	e.boundVersion = &version
	return nil
}

// originInterval is the time between two records of the origin of a stream that goes on for long. The
// daemons that were told may be replaced meanwhile.
const originInterval = 10 * time.Second

// recordOrigin records the service and the software version that began the stream, unless that was done
// less than originInterval ago. It is called before bytes of the stream are relayed, first when the
// engine has sent some.
func (e *execution) recordOrigin(reply *startedReply) {
	lacksOrigin := e.isResumption() && e.call.Origin == ""
	if !e.route.Resumable || !e.isStream(reply) || lacksOrigin || time.Since(e.originRecordedAt) < originInterval {
		return
	}
	e.originRecordedAt = time.Now()
	stream := origin.StreamOf(e.tenantScoped(e.call.ID))
	if e.isResumption() {
		stream = e.originStream()
	}
	began := origin.Origin{Service: e.service.Name, Version: e.instance.SoftwareVersion}
	e.gateway.Origins.Record(stream, began, lifetimeInTimeouts*e.timeLimit())
}

// candidates returns the instances that may get the request. A request that continues a stream goes
// to those of the version that began it. A stream that may be continued begins at instances whose
// version is recorded, if one of them is usable.
func (e *execution) candidates(request *backend.PlacementRequest) []*backend.Instance {
	all := e.gateway.Fleet.Instances(e.service.Name)
	if e.boundVersion != nil {
		return instancesWith(all, func(instance *backend.Instance) bool { return instance.SoftwareVersion == *e.boundVersion })
	}
	if !e.route.Resumable {
		return all
	}
	recorded := instancesWith(all, func(instance *backend.Instance) bool {
		return e.gateway.SoftwareVersions.IsRecorded(instance.Service, instance.SoftwareVersion)
	})
	if len(recorded) < len(all) && backend.Choose(recorded, request) == nil {
		return all
	}
	return recorded
}

// instancesWith returns the instances for which the condition holds. If it holds for all, it returns
// the given slice.
func instancesWith(instances []*backend.Instance, condition func(*backend.Instance) bool) []*backend.Instance {
	differs := func(instance *backend.Instance) bool { return !condition(instance) }
	if !slices.ContainsFunc(instances, differs) {
		return instances
	}
	return slices.DeleteFunc(slices.Clone(instances), differs)
}

// isInstanceListConfirmed reports whether the store has confirmed the list of instances recently.
func (e *execution) isInstanceListConfirmed() bool {
	age, isConfirmed := e.gateway.InstancesAge()
	return isConfirmed && age <= maxConfirmedInstancesAge
}

// noInstanceOfVersion returns the refusal of a request that continues a stream of whose version the
// list has no usable instance. If the list is confirmed, the caller gets no time to retry, since it
// should start anew.
func (e *execution) noInstanceOfVersion(isListConfirmed bool) error {
	cause := eris.Errorf("no instance of %s with software version %q", e.service.Name, *e.boundVersion)
	if !isListConfirmed {
		return notRunRefusal(ReasonNoEngine, storeRetryAfter, eris.Wrap(cause, "the list of instances is not confirmed"))
	}
	return notRunRefusal(ReasonOriginGone, 0, cause)
}
