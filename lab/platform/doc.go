// Package platform implements a stand-in for the platform's object API and VM list, with rate limits and fault injection.
//
// It uses no clock other than package time, so a test in a synctest bubble controls its rates and delays.
package platform
