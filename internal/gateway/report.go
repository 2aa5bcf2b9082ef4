package gateway

import (
	"errors"
	"time"

	"go.uber.org/zap"
)

// report logs the outcome of the request in one line and updates the metrics.
func (e *execution) report(err error) {
	took := time.Since(e.arrived)
	reason, status := reasonOf(err), e.callerStatus(err)
	if e.tries > 0 {
		e.gateway.durations.record(e.routeName(), took, time.Now())
	}
	e.gateway.Metrics.observeRequest(e.routeName(), status, reason, took)
	if e.hasReply {
		e.gateway.Metrics.observeAnswer(e.framing, e.ending)
	}
	fields := []zap.Field{
		zap.String("request", e.call.ID),
		zap.String("route", e.routeName()),
		zap.Int("status", status),
		zap.Duration("took", took),
	}
	fields = e.addProgramFields(fields)
	fields = e.addQuotaFields(fields)
	fields = e.addResumptionFields(fields)
	fields = e.addEngineFields(fields)
	fields = e.addConfigurationFields(fields)
	fields = e.addProgressFields(fields)
	fields = e.addAnswerFields(fields)
	fields = e.addLossFields(fields)
	if err == nil {
		e.gateway.Log.Info("request: answered.", fields...)
		return
	}
	fields = append(fields, zap.String("reason", string(reason)), zap.String("cause", err.Error()))
	e.gateway.Log.Warn("request: failed.", fields...)
}

// callerStatus returns the HTTP status that the caller got; 0 if it got none.
func (e *execution) callerStatus(err error) int {
	var refusal *Refusal
	if errors.As(err, &refusal) && !e.headSent {
		return refusal.Status
	}
	return e.status
}

// routeName returns the name of the route, or "" if none was found.
func (e *execution) routeName() string {
	if e.route == nil {
		return ""
	}
	return e.route.Name
}

// addProgramFields adds the tenant and the caller's headers about its program.
func (e *execution) addProgramFields(fields []zap.Field) []zap.Field {
	if e.tenant != nil {
		fields = append(fields, zap.String("tenant", string(e.tenant.Name)))
	}
	if e.call.Program != "" {
		fields = append(fields, zap.String("program", e.call.Program))
	}
	if e.call.Previous != "" {
		fields = append(fields, zap.String("previous", e.call.Previous))
	}
	if e.call.Budget > 0 {
		fields = append(fields, zap.Int64("budget", e.call.Budget), zap.Int64("most", e.call.MaxTokens))
	}
	return fields
}

// addQuotaFields adds the machine that granted the quota permit and the number of permits left
// there. For a refused request, the error contains the same.
func (e *execution) addQuotaFields(fields []zap.Field) []zap.Field {
	if e.quotaPermit == nil {
		return fields
	}
	return append(fields, zap.String("quotaKeeper", e.quotaPermit.Owner), zap.Float64("quotaLeft", e.quotaPermit.Level),
		zap.Int("quotaAsked", e.quotaPermit.Asked), zap.Duration("quotaTook", e.quotaPermit.Duration))
}

// addEngineFields adds the engine that was tried last and its known state at that time.
func (e *execution) addEngineFields(fields []zap.Field) []zap.Field {
	if e.instance != nil {
		fields = append(fields, zap.String("engine", e.instance.ID), zap.String("engineVersion", e.instance.SoftwareVersion), zap.Duration("firstByte", e.timeToFirstByte), zap.Int("engineLoad", e.placement.load))
	}
	if e.placement.missingTokens > 0 {
		fields = append(fields, zap.Int("toRead", e.placement.missingTokens))
	}
	return fields
}

// addResumptionFields adds, for a request that continues a stream, the last event that the caller
// has, the attempt that brought the first one, and the software version to which the request is bound.
func (e *execution) addResumptionFields(fields []zap.Field) []zap.Field {
	if e.call.ResumeFrom == "" {
		return fields
	}
	fields = append(fields, zap.String("resumeFrom", e.call.ResumeFrom), zap.String("origin", e.call.Origin))
	if e.boundVersion != nil {
		fields = append(fields, zap.String("boundVersion", *e.boundVersion))
	}
	return fields
}

// addConfigurationFields adds the revision of the configuration that was used, and the ages that
// the configuration and the list of engines had when the request was decided.
func (e *execution) addConfigurationFields(fields []zap.Field) []zap.Field {
	if e.table == nil {
		return fields
	}
	if e.isTableConfirmed {
		fields = append(fields, zap.Duration("configurationAge", e.tableAge))
	}
	if e.hasInstancesAge {
		fields = append(fields, zap.Duration("enginesAge", e.instancesAge))
	}
	return append(fields, zap.Uint64("revision", e.table.Revision))
}

// addAnswerFields adds how the engine marks the end of its answer, how the answer ended, whether a
// stream ended within an event, and the protocol of a caller that cannot read chunks.
func (e *execution) addAnswerFields(fields []zap.Field) []zap.Field {
	if e.hasReply {
		fields = append(fields, zap.Stringer("framing", e.framing), zap.Stringer("ending", e.ending))
	}
	if e.events.isPartial() {
		fields = append(fields, zap.Bool("partialEvent", true))
	}
	if !e.request.ProtoAtLeast(1, 1) {
		fields = append(fields, zap.String("protocol", e.request.Proto))
	}
	return fields
}

// addLossFields adds, if engines were lost during the request or have ended under its work, the work, the
// number of lost engines, and those that have ended under the work.
func (e *execution) addLossFields(fields []zap.Field) []zap.Field {
	if e.permit == nil || e.losses == 0 && !e.permit.IsSuspect() {
		return fields
	}
	return append(fields, zap.Stringer("work", e.currentWork.Digest), zap.Int("enginesLost", e.losses), zap.Strings("enginesEnded", e.permit.Ended))
}

// addProgressFields adds what happened while the request was served, and leaves out what did
// not happen.
func (e *execution) addProgressFields(fields []zap.Field) []zap.Field {
	if e.events.count > 0 {
		fields = append(fields, zap.Int("events", e.events.count))
	}
	if e.tries > 1 {
		fields = append(fields, zap.Int("tries", e.tries))
	}
	if e.call.ProgramDeadline > 0 {
		fields = append(fields, zap.Duration("programLeft", e.call.ProgramDeadline))
	}
	if e.reservation != nil {
		fields = append(fields, zap.Int64("attained", e.reservation.GeneratedTokens()))
	}
	if e.repeatedSearches > 0 {
		fields = append(fields, zap.Int("searches", e.repeatedSearches))
	}
	if e.storeWait > 0 {
		fields = append(fields, zap.Duration("storeWait", e.storeWait))
	}
	return fields
}
