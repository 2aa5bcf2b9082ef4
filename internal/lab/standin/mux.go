package standin

import "net/http"

// NewMux returns a mux with the service at "/", PathFaults and PathRecords. It
// applies no faults or rate limits itself: the service must already be wrapped
// in them. If records is nil, PathRecords is not registered.
func NewMux(service http.Handler, faults *Faults, records func() any) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("/", service)
	mux.Handle(PathFaults, faults)
	if records != nil {
		mux.HandleFunc("GET "+PathRecords, func(w http.ResponseWriter, _ *http.Request) {
			WriteJSON(w, http.StatusOK, records())
		})
	}
	return mux
}
