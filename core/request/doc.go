// Package request is the life cycle of a caller's request: its stages under one deadline, the attempts that run them, and the one final answer.
package request
