package standin

import (
	"net/http"

	"golang.org/x/time/rate"
)

// RateLimit wraps next with a rate limit that all clients share. Requests above it
// get status 429. A rate of 0 means no limit; a burst below 1 counts as 1.
func RateLimit(requestsPerSecond float64, burst int, next http.Handler) http.Handler {
	if requestsPerSecond == 0 {
		return next
	}
	limiter := rate.NewLimiter(rate.Limit(requestsPerSecond), max(burst, 1))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !limiter.Allow() {
			http.Error(w, "rate limited", http.StatusTooManyRequests)
			return
		}
		next.ServeHTTP(w, r)
	})
}
