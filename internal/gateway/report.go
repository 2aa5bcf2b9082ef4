package gateway

import (
	"errors"
	"time"

	"go.uber.org/zap"
)

// report writes the one line that tells a request's outcome, and counts it.
func (e *execution) report(err error) {
	took := time.Since(e.arrived)
	reason, status := reasonOf(err), e.told(err)
	e.gateway.Metrics.ended(e.routeName(), status, reason, took)
	fields := []zap.Field{
		zap.String("request", e.call.ID),
		zap.String("route", e.routeName()),
		zap.Int("status", status),
		zap.Duration("took", took),
	}
	fields = e.addProgram(fields)
	fields = e.addQuota(fields)
	fields = e.addEngine(fields)
	fields = e.addConfiguration(fields)
	fields = e.addCourse(fields)
	if err == nil {
		e.gateway.Log.Info("request: answered.", fields...)
		return
	}
	fields = append(fields, zap.String("reason", string(reason)), zap.String("cause", err.Error()))
	e.gateway.Log.Warn("request: failed.", fields...)
}

// told is the status that the caller got.
func (e *execution) told(err error) int {
	var refusal *Refusal
	if errors.As(err, &refusal) && !e.headSent {
		return refusal.Status
	}
	return e.status
}

func (e *execution) routeName() string {
	if e.route == nil {
		return ""
	}
	return e.route.Name
}

// addProgram tells whose request it is, and what the caller said of its program.
func (e *execution) addProgram(fields []zap.Field) []zap.Field {
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
		fields = append(fields, zap.Int64("budget", e.call.Budget), zap.Int64("most", e.call.MostTokens))
	}
	return fields
}

// addQuota tells who gave the request its place in its tenant's quota, and how many were
// left there; a refusal says it in its cause.
func (e *execution) addQuota(fields []zap.Field) []zap.Field {
	if e.taken == nil {
		return fields
	}
	return append(fields, zap.String("quotaKeeper", e.taken.Keeper), zap.Float64("quotaLeft", e.taken.Level),
		zap.Int("quotaAsked", e.taken.Asked), zap.Duration("quotaTook", e.taken.Took))
}

// addEngine tells which engine was chosen last, and what was believed of it.
func (e *execution) addEngine(fields []zap.Field) []zap.Field {
	if e.instance != nil {
		fields = append(fields, zap.String("engine", e.instance.ID), zap.Duration("firstByte", e.firstByte), zap.Int("engineLoad", e.believed.load))
	}
	if e.believed.missing > 0 {
		fields = append(fields, zap.Int("toRead", e.believed.missing))
	}
	return fields
}

// addConfiguration tells which configuration decided, and how old it and the picture
// of engines were.
func (e *execution) addConfiguration(fields []zap.Field) []zap.Field {
	if e.table == nil {
		return fields
	}
	configurationAge, instancesAge := e.gateway.Ages()
	return append(fields, zap.Uint64("revision", e.table.Revision),
		zap.Duration("configurationAge", configurationAge), zap.Duration("enginesAge", instancesAge))
}

// addCourse tells what happened on the way; what did not happen is left out.
func (e *execution) addCourse(fields []zap.Field) []zap.Field {
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
		fields = append(fields, zap.Int64("attained", e.reservation.Attained()))
	}
	if e.searches > 0 {
		fields = append(fields, zap.Int("searches", e.searches))
	}
	if e.waited > 0 {
		fields = append(fields, zap.Duration("storeWait", e.waited))
	}
	return fields
}
