// Package denylist refuses requests that crash the servers that run them.
//
// A request is identified by its content, because a caller that retries it gives it a new name, and by each part of its
// prompt that other requests may share, because one part may crash a server whatever else the request holds. These are its
// keys. An attempt that breaks off without a response at a server whose process has ended counts against all its keys, and
// the begin of a successful response clears all keys of its request. A key that has had a response lately needs more crashes
// than others, and once a key is refused, crashes of its requests count against no other key. So a part that sound requests
// share with a crashing one stays usable.
//
// Nodes tell each other at once which attempts broke off, which processes have ended, and which keys got a response. A
// refused key is tried again from time to time, by one request on one node, since it may be refused only because all
// servers ended at the same time.
package denylist
