package accountant

import (
	"strconv"
	"strings"
	"time"
)

// Field is one key=value pair.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Line is one event of one router. Time is zero if the line has no field time.
type Line struct {
	Time   time.Time `json:"time"`
	Event  string    `json:"event"`
	Router string    `json:"router"`
	Fields []Field   `json:"fields"`
}

// ParseLine parses one line and reports whether it is an event. Text before the first field, such as a log collector's prefix,
// is ignored.
func ParseLine(text string) (Line, bool) {
	rest := withoutPrefix(strings.TrimSpace(text))
	l := Line{Fields: make([]Field, 0, 24)}
	for rest != "" {
		f, after, ok := nextField(rest)
		if !ok {
			return Line{}, false
		}
		l.Fields = append(l.Fields, f)
		rest = strings.TrimLeft(after, " ")
	}
	l.Event, l.Router = l.Text("event"), l.Text("instance")
	at := l.Text("time")
	if at == "" {
		return l, l.Event != ""
	}
	var err error
	l.Time, err = time.Parse(time.RFC3339Nano, at)
	return l, l.Event != "" && err == nil
}

// Text returns the value of a field, or "" if there is none.
func (l Line) Text(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Number returns the value of a field as an integer, or zero if there is none or it is not an integer.
func (l Line) Number(name string) int64 {
	n, err := strconv.ParseInt(l.Text(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// withoutPrefix returns the text from its first field time on. If there is none, it returns the text from its first field level
// on. It returns a text without these fields unchanged.
func withoutPrefix(text string) string {
	for _, start := range []string{"time=", "level="} {
		if strings.HasPrefix(text, start) {
			return text
		}
		if i := strings.Index(text, " "+start); i >= 0 {
			return text[i+1:]
		}
	}
	return text
}

// nextField returns the first field of the text and the text after it. It returns false if the text does not begin with a field.
func nextField(text string) (Field, string, bool) {
	name, rest, ok := strings.Cut(text, "=")
	if !ok || name == "" || strings.ContainsAny(name, ` "`) {
		return Field{}, "", false
	}
	if !strings.HasPrefix(rest, `"`) {
		value, rest, _ := strings.Cut(rest, " ")
		return Field{Name: name, Value: value}, rest, true
	}
	quoted, err := strconv.QuotedPrefix(rest)
	if err != nil {
		return Field{}, "", false
	}
	value, err := strconv.Unquote(quoted)
	return Field{Name: name, Value: value}, rest[len(quoted):], err == nil
}
