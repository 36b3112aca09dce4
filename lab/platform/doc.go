// Package platform is a stand-in of the platform's object API and VM list, with rate limits and faults.
//
// It reads the time through the time package only, so a test inside a synctest bubble controls its rates and delays.
package platform
