// Package configcheck checks the configuration of a deployment of tamarack-node before an operator writes it to the store. It finds
// entries that the nodes would reject, ignore or never use, and what differs from the configuration in effect. API keys are in none of
// its results.
package configcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/platform"
	"github.com/tamarackworks/tamarackworks/workload"
)

// ErrInput means that a configuration is not JSON, or that the one in effect cannot be decoded.
var ErrInput = errors.New("configcheck: invalid input")

// Severity is the severity of a finding.
type Severity string

// Severities of findings.
const (
	// SeverityError means that the nodes reject or ignore the entry, or misread what it is meant to say.
	SeverityError Severity = "error"
	// SeverityWarning means that the nodes accept the entry, but it has no effect or an unexpected one.
	SeverityWarning Severity = "warning"
)

// Code identifies the rule that a finding breaks. Codes are stable, so that scripts can select by them.
type Code string

// Codes of findings.
const (
	CodeType            Code = "wrong-type"
	CodeMissing         Code = "missing"
	CodeRange           Code = "out-of-range"
	CodeDuplicate       Code = "duplicate-name"
	CodeVersion         Code = "version-not-higher"
	CodeUndeclared      Code = "undeclared-service"
	CodePrefix          Code = "bad-prefix"
	CodeHost            Code = "host-with-port"
	CodeHidden          Code = "hidden-route"
	CodeStandbyRoute    Code = "route-to-standby"
	CodeUnusedService   Code = "unused-service"
	CodeUnusableKey     Code = "unusable-key"
	CodeSharedKey       Code = "shared-key"
	CodeNoOwnKey        Code = "no-own-key"
	CodeNoOrganisations Code = "no-organisations"
	CodeSlackIgnored    Code = "slack-ignored"
	CodeNoObjective     Code = "no-objective"
	CodeUnboundedShare  Code = "unbounded-share"
	CodeShareTooSmall   Code = "share-too-small"
	CodeDefaultLimit    Code = "default-limit"
	CodeIgnoredLimit    Code = "ignored-limit"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	// Kind, Name and Field say where the fault is. Name is empty for the document as a whole and for entries without a name, whose
	// position is in the message.
	Kind    Kind   `json:"kind"`
	Name    string `json:"name,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// Kind is the kind of an entry.
type Kind string

// Kinds of entries.
const (
	KindDocument     Kind = "configuration"
	KindRoute        Kind = "route"
	KindService      Kind = "service"
	KindOrganisation Kind = "organisation"
)

// Report is the result of a check.
type Report struct {
	Version uint64 `json:"version"`
	// Against is the version of the configuration in effect, nil if none was given.
	Against  *uint64   `json:"against,omitempty"`
	Findings []Finding `json:"findings"`
	// Changes are the differences to the configuration in effect.
	Changes []Change `json:"changes,omitempty"`
}

// Count returns the number of findings of a severity.
func (r *Report) Count(s Severity) (n int) {
	for _, f := range r.Findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// Check checks a configuration. inEffect is the configuration in effect, or nil if it is not known. The error is an ErrInput. A
// configuration with a value of a wrong type gets one finding only: the nodes reject it as a whole.
func Check(candidate, inEffect []byte) (*Report, error) {
	r := &Report{Findings: []Finding{}}
	var former *platform.ConfigDocument
	if inEffect != nil {
		former = &platform.ConfigDocument{}
		if err := decode(inEffect, former); err != nil {
			return nil, errors.Wrapf(ErrInput, "configuration in effect: %v", err)
		}
		r.Against = &former.Version
	}
	c := checker{Report: r}
	var mistyped *typeError
	err := decode(candidate, &c.doc)
	switch {
	case errors.As(err, &mistyped):
		c.report(SeverityError, CodeType, entry{kind: KindDocument}, mistyped.field, "%v", mistyped)
		return r, nil
	case err != nil:
		return nil, errors.Wrap(ErrInput, err.Error())
	}
	r.Version = c.doc.Version
	c.checkDocument(former)
	c.checkServices()
	c.checkRoutes()
	c.checkOrganisations()
	if former != nil {
		r.Changes = diff(former, &c.doc)
	}
	return r, nil
}

// typeError is a value of a wrong type.
type typeError struct {
	line               int
	field, found, want string
}

func (e *typeError) Error() string {
	return fmt.Sprintf("line %d: %s is a JSON %s, not a value for %s", e.line, e.field, e.found, e.want)
}

// decode decodes a configuration. Its errors leave out the messages of the decoder, which may quote a part of a key.
func decode(data []byte, doc *platform.ConfigDocument) error {
	lineOf := func(offset int64) int {
		return 1 + bytes.Count(data[:min(max(offset, 0), int64(len(data)))], []byte("\n"))
	}
	err := json.Unmarshal(data, doc)
	var syntax *json.SyntaxError
	var mistyped *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mistyped):
		found, _, _ := strings.Cut(mistyped.Value, " ")
		field := mistyped.Field
		if field == "" {
			field = "the document"
		}
		return &typeError{lineOf(mistyped.Offset), field, found, mistyped.Type.Kind().String()}
	case errors.As(err, &syntax):
		return errors.Errorf("line %d: not valid JSON", lineOf(syntax.Offset))
	case err != nil:
		return errors.New("not valid JSON")
	}
	return nil
}

// checker collects the findings of one configuration.
type checker struct {
	*Report
	doc platform.ConfigDocument
}

// entry names an entry of a configuration by its kind, its name and its position.
type entry struct {
	kind  Kind
	name  string
	index int
}

func (c *checker) report(s Severity, code Code, e entry, field, format string, a ...any) {
	message := fmt.Sprintf(format, a...)
	if e.name == "" && e.kind != KindDocument {
		message = fmt.Sprintf("entry %d: %s", e.index+1, message)
	}
	c.Findings = append(c.Findings, Finding{s, code, e.kind, e.name, field, message})
}

func (c *checker) errorf(code Code, e entry, field, format string, a ...any) {
	c.report(SeverityError, code, e, field, format, a...)
}

func (c *checker) warnf(code Code, e entry, field, format string, a ...any) {
	c.report(SeverityWarning, code, e, field, format, a...)
}

// checkName reports an empty name, and one that an earlier entry has.
func (c *checker) checkName(e entry, seen map[string]bool) {
	if e.name == "" {
		c.errorf(CodeMissing, e, "Name", "the name is missing")
	} else if seen[e.name] {
		c.errorf(CodeDuplicate, e, "Name", "an earlier entry has the same name")
	}
	seen[e.name] = true
}

// checkRange reports a number outside of 0 to highest.
func (c *checker) checkRange(e entry, field string, value, highest float64) {
	if value < 0 || value > highest {
		c.errorf(CodeRange, e, field, "%v is not in the range of 0 to %v", value, highest)
	}
}

const (
	// maxTimeMS bounds times. No request, job or permit takes a year; larger values overflow when times are added.
	maxTimeMS = 365 * 24 * 60 * 60 * 1000
	// maxSlack bounds SlackFactor: multiplied by run times of days, it stays far below the largest duration.
	maxSlack = 1000
	// maxCount bounds priorities, attempts and byte limits, which are 32-bit numbers at least on all platforms.
	maxCount = 1<<31 - 1
)

func (c *checker) checkDocument(former *platform.ConfigDocument) {
	document := entry{kind: KindDocument}
	switch version := c.doc.Version; {
	case version == 0:
		c.errorf(CodeMissing, document, "Version", "the version is missing or 0")
	case former != nil && version <= former.Version:
		c.errorf(CodeVersion, document, "Version", "version %d is not higher than version %d, which is in effect: the nodes ignore it", version, former.Version)
	}
	if len(c.doc.Routes) == 0 {
		c.errorf(CodeMissing, document, "Routes", "there are no routes: all requests are rejected")
	}
	if len(c.doc.Services) == 0 {
		c.errorf(CodeMissing, document, "Services", "there are no services")
	}
	if body := c.doc.Limits.BodyBytes; body != nil {
		c.checkRange(document, "Limits.MaxBodyBytes", float64(*body), maxCount)
		if *body == 0 {
			c.warnf(CodeDefaultLimit, document, "Limits.MaxBodyBytes", "0 does not refuse bodies: the default of %d applies", platform.DefaultMaxBodyBytes)
		}
	}
	if header := c.doc.Limits.HeaderBytes; header != nil {
		c.checkRange(document, "Limits.MaxHeaderBytes", float64(*header), maxCount)
		if *header >= 0 && *header != platform.MaxHeaderBytes {
			c.warnf(CodeIgnoredLimit, document, "Limits.MaxHeaderBytes", "%d has no effect: the nodes use a limit of %d", *header, platform.MaxHeaderBytes)
		}
	}
}

func (c *checker) checkServices() {
	seen, used := make(map[string]bool), make(map[string]bool)
	for _, r := range c.doc.Routes {
		used[r.Service] = true
	}
	for i, s := range c.doc.Services {
		e := entry{KindService, s.Name, i}
		c.checkName(e, seen)
		if s.Name != "" && !s.Standby && !used[s.Name] {
			c.warnf(CodeUnusedService, e, "", "no route uses the service, and it is not a standby pool")
		}
	}
}

func (c *checker) checkRoutes() {
	standby := make(map[string]bool)
	for _, s := range c.doc.Services {
		standby[s.Name] = s.Standby
	}
	seen, byPrefix := make(map[string]bool), make(map[string][]int)
	withObjective := make(map[string]bool)
	for _, r := range c.doc.Routes {
		if r.ObjectiveMS >= 1 {
			withObjective[r.Service] = true
		}
	}
	for i, r := range c.doc.Routes {
		e := entry{KindRoute, r.Name, i}
		c.checkName(e, seen)
		c.checkMatch(e, r, byPrefix[r.Prefix])
		byPrefix[r.Prefix] = append(byPrefix[r.Prefix], i)
		isStandby, declared := standby[r.Service]
		switch {
		case r.Service == "":
			c.errorf(CodeMissing, e, "Service", "the service is missing")
		case !declared:
			c.errorf(CodeUndeclared, e, "Service", "service %q is not declared", r.Service)
		case isStandby:
			c.warnf(CodeStandbyRoute, e, "Service", "service %q is a standby pool, whose machines are switched off", r.Service)
		}
		c.checkRange(e, "TimeoutMs", r.TimeoutMS, maxTimeMS)
		c.checkRange(e, "TargetCompletionMs", r.ObjectiveMS, maxTimeMS)
		c.checkRange(e, "Priority", float64(r.Priority), maxCount)
		c.checkRange(e, "MaxAttempts", float64(r.MaxAttempts), maxCount)
		c.checkRange(e, "SlackFactor", r.SlackFactor, maxSlack)
		if r.SlackFactor > 0 && r.SlackFactor < 1 {
			c.warnf(CodeSlackIgnored, e, "SlackFactor", "values below 1 count as 1")
		}
		// The nodes drop fractions of a millisecond of an objective.
		if r.ObjectiveMS >= 0 && r.ObjectiveMS < 1 && withObjective[r.Service] {
			c.warnf(CodeNoObjective, e, "TargetCompletionMs",
				"the objective is missing or 0, but other routes of the service have one: under overload, jobs of this route are never rejected and take capacity from those of the others")
		}
		if p := r.Advice; p != nil {
			c.checkRange(e, "Recommendation.DecisionMs", p.DecisionMS, maxTimeMS)
			c.checkRange(e, "Recommendation.PeriodMs", p.PerExecutorMS, maxTimeMS)
			c.checkRange(e, "Recommendation.ValidMs", p.ValidMS, maxTimeMS)
		}
	}
}

// checkMatch reports what keeps requests from matching a route. earlier are the positions of earlier routes with the same prefix, of
// which the first one that has the same host takes all requests.
func (c *checker) checkMatch(e entry, r platform.ConfigRoute, earlier []int) {
	switch {
	case r.Host == "":
		c.errorf(CodeMissing, e, "Host", "the host is missing")
	case platform.HostName(r.Host) != r.Host:
		c.errorf(CodeHost, e, "Host", "%q has a port, which is removed from requests before they are matched: the route never matches", r.Host)
	}
	switch {
	case r.Prefix == "":
		c.errorf(CodeMissing, e, "Prefix", "the prefix is missing")
	case r.Prefix[0] != '/':
		c.errorf(CodePrefix, e, "Prefix", "%q does not begin with /: the route never matches", r.Prefix)
	case !strings.HasSuffix(r.Prefix, "/"):
		c.warnf(CodePrefix, e, "Prefix", "%q does not end with /: the ids of jobs follow the prefix directly", r.Prefix)
	}
	hides := func(i int) bool { return strings.EqualFold(c.doc.Routes[i].Host, r.Host) }
	if i := slices.IndexFunc(earlier, hides); i >= 0 && r.Host != "" && r.Prefix != "" {
		c.errorf(CodeHidden, e, "", "route %q has the same host and prefix and takes all requests", c.doc.Routes[earlier[i]].Name)
	}
}

func (c *checker) checkOrganisations() {
	if c.doc.Organisations == nil {
		return
	}
	organisations := *c.doc.Organisations
	if len(organisations) == 0 {
		c.warnf(CodeNoOrganisations, entry{kind: KindDocument}, platform.ConfigOrganisationsField, "the list is empty: only public routes can be called")
	}
	weighted := slices.ContainsFunc(organisations, func(o platform.ConfigOrganisation) bool { return o.Weight > 0 })
	// The last organisation with a key gets its requests.
	holder := make(map[workload.KeyDigest]int)
	for i, o := range organisations {
		for digest := range usableKeys(o) {
			holder[digest] = i
		}
	}
	seen := make(map[string]bool)
	for i, o := range organisations {
		e := entry{KindOrganisation, o.Name, i}
		c.checkName(e, seen)
		c.checkKeys(e, o, organisations, holder)
		c.checkRange(e, "Weight", o.Weight, platform.MaxCapacity)
		switch {
		case o.Weight > 0 && o.Weight < 1:
			c.warnf(CodeShareTooSmall, e, "Weight", "with a weight below 1, all jobs of the organisation count as beyond its share")
		case o.Weight == 0 && weighted:
			c.warnf(CodeUnboundedShare, e, "Weight", "the weight is missing or 0, which does not bound the share: the organisation ranks like those within their weights, whatever it sends")
		}
		c.checkRange(e, "Cap.Cpu", float64(o.Cap.CPU), platform.MaxCapacity)
		c.checkRange(e, "Cap.MemMb", float64(o.Cap.Memory), platform.MaxCapacity)
		c.checkRange(e, "Cap.Gpu", float64(o.Cap.GPU), platform.MaxCapacity)
	}
}

// checkKeys reports keys of an organisation that no request can use or that another organisation has too.
func (c *checker) checkKeys(e entry, o platform.ConfigOrganisation, all []platform.ConfigOrganisation, holder map[workload.KeyDigest]int) {
	unusable := 0
	for _, key := range o.Keys {
		if !usable(key) {
			unusable++
		}
	}
	if unusable > 0 {
		c.errorf(CodeUnusableKey, e, "ApiKeys", "%d of %d keys are empty, too long, or not possible as the value of a header", unusable, len(o.Keys))
	}
	own, taken := 0, make(map[int]int)
	for digest := range usableKeys(o) {
		if i := holder[digest]; i != e.index {
			taken[i]++
		} else {
			own++
		}
	}
	for i := range all {
		if taken[i] > 0 {
			c.errorf(CodeSharedKey, e, "ApiKeys", "%d keys are also keys of organisation %q, which gets their requests", taken[i], all[i].Name)
		}
	}
	switch {
	case own == 0 && len(taken) > 0:
		c.errorf(CodeNoOwnKey, e, "ApiKeys", "all keys are also keys of other organisations: no request counts as one of this organisation")
	case own == 0 && unusable == 0:
		c.warnf(CodeNoOwnKey, e, "ApiKeys", "there are no keys: no request counts as one of this organisation")
	}
}

// usable reports whether a request can name a key in a header: leading and trailing blanks are removed from the values of headers,
// and control characters are refused.
func usable(key platform.APIKey) bool {
	_, ok := workload.DigestKey(string(key))
	isControl := func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
	return ok && strings.Trim(string(key), " \t") == string(key) && !strings.ContainsFunc(string(key), isControl)
}

// usableKeys returns the digests of the usable keys of an organisation.
func usableKeys(o platform.ConfigOrganisation) map[workload.KeyDigest]bool {
	digests := make(map[workload.KeyDigest]bool)
	for _, key := range o.Keys {
		if digest, ok := workload.DigestKey(string(key)); ok && usable(key) {
			digests[digest] = true
		}
	}
	return digests
}
