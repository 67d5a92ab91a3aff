package store

import "strconv"

// NotFoundError reports an object that does not exist.
type NotFoundError struct {
	Kind string
	Name string
}

// Error returns a message with the kind and name of the object.
func (e *NotFoundError) Error() string {
	return "store: object " + e.Kind + "/" + e.Name + " does not exist"
}

// ConflictError reports a change of an object whose revision is not the expected one, or the creation of an object that
// already exists.
type ConflictError struct {
	// Current is the stored object. Its revision is 0 if the response did not contain the object.
	Current Object
}

// Error returns a message with the object's kind, name and current revision.
func (e *ConflictError) Error() string {
	return "store: conflict: object " + e.Current.Kind + "/" + e.Current.Name + " has revision " +
		strconv.FormatUint(e.Current.Revision, 10)
}

// ExpiredError reports a watch from a revision that the store no longer keeps the history of.
type ExpiredError struct {
	Kind     string
	Revision uint64
}

// Error returns a message with the kind and the revision.
func (e *ExpiredError) Error() string {
	return "store: history of " + e.Kind + " since revision " + strconv.FormatUint(e.Revision, 10) + " is no longer available"
}

// UnavailableError reports a call without a usable response. If the call was a write, it may have taken effect.
type UnavailableError struct {
	Kind string
	// Name is empty if the call was a list or watch.
	Name  string
	Cause error
}

// Error returns a message with the object and the cause.
func (e *UnavailableError) Error() string {
	return "store: " + e.Kind + "/" + e.Name + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}

// StatusError is the cause of an UnavailableError for an unexpected HTTP status.
type StatusError struct {
	Status int
}

// Error returns a message with the status.
func (e *StatusError) Error() string {
	return "unexpected HTTP status " + strconv.Itoa(e.Status)
}

// TooManyPagesError reports a listing with more than maxPages pages.
type TooManyPagesError struct {
	Kind string
}

// Error implements the error interface.
func (e *TooManyPagesError) Error() string {
	return "list " + e.Kind + ": more pages than this client reads"
}
