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

// ExpiredError reports a watch from a position whose history the store no longer keeps, or that is of an earlier era.
type ExpiredError struct {
	Kind string
	From Position
}

// Error returns a message with the kind and the position.
func (e *ExpiredError) Error() string {
	return "store: history of " + e.Kind + " since revision " + strconv.FormatUint(e.From.Revision, 10) + " of era " +
		strconv.FormatUint(e.From.Era, 10) + " is no longer available"
}

// PassedEraError is the cause of an UnavailableError for a response of an era that has ended. What it acknowledges or
// contains may be gone.
type PassedEraError struct {
	Era    uint64
	Latest uint64
}

// Error returns a message with both eras.
func (e *PassedEraError) Error() string {
	return "response of era " + strconv.FormatUint(e.Era, 10) + ", but era " + strconv.FormatUint(e.Latest, 10) + " has begun"
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
