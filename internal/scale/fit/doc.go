// Package fit fits a line to measured points and returns its largest relative error. It is pure.
package fit
