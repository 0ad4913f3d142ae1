package config

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// sample is a randomly generated configuration that can be written in many equivalent forms.
type sample struct {
	blocks []sampleBlock
}

type sampleBlock struct {
	kind, name string
	fields     []sampleField
}

type sampleField struct {
	name string
	unit string  // "ms", "/s", "%", "B", "" for a number, "text", "list" or "map"
	num  float64 // in the base unit
	text string
	list []string
}

func (b *sampleBlock) setNumber(name, unit string, num float64) {
	b.fields = append(b.fields, sampleField{name: name, unit: unit, num: num})
}

func (b *sampleBlock) setText(name, text string) {
	b.fields = append(b.fields, sampleField{name: name, unit: "text", text: text})
}

func (b *sampleBlock) setList(name string, list ...string) {
	b.fields = append(b.fields, sampleField{name: name, unit: "list", list: list})
}

// randomSample returns a valid configuration. Its routes have different paths, so that none
// hides another.
func randomSample(r *rand.Rand) *sample {
	s := &sample{}
	addBlock := func(kind, name string) *sampleBlock {
		s.blocks = append(s.blocks, sampleBlock{kind: kind, name: name})
		return &s.blocks[len(s.blocks)-1]
	}
	addBlock("room", "r0")
	classes := 1 + r.IntN(3)
	for i := range classes {
		b := addBlock("class", fmt.Sprint("c", i))
		b.setNumber("aim", "ms", float64(100+r.IntN(900)))
		b.setNumber("deadline", "ms", float64(1000+r.IntN(3000)))
		b.setNumber("worth", "", float64(1+r.IntN(5)))
		b.setText("repeat", []string{"safe", "unsafe"}[r.IntN(2)])
		b.setNumber("share", "%", 100/float64(classes))
		b.setNumber("work", "ms", float64(1+r.IntN(100)))
		if r.IntN(2) == 0 {
			b.setNumber("units", "", float64(1+r.IntN(3)))
		}
	}
	plans := 1 + r.IntN(3)
	for i := range plans {
		b := addBlock("plan", fmt.Sprint("p", i))
		b.setNumber("rate", "/s", float64(1+r.IntN(20)))
		b.setNumber("burst", "", float64(10+r.IntN(50)))
		b.setNumber("share", "%", 100/float64(plans))
		if r.IntN(2) == 0 {
			b.setNumber("ceiling_rate", "/s", float64(30+r.IntN(50)))
			b.setNumber("ceiling_burst", "", float64(100+r.IntN(50)))
		}
	}
	for i := range 2 {
		b := addBlock("limiter", fmt.Sprint("n", i))
		b.setText("room", "r0")
		b.setText("listen", fmt.Sprintf("127.0.0.1:%d", 8000+i))
	}
	boxes := 2 + r.IntN(4)
	for i := range boxes {
		b := addBlock("box", fmt.Sprint("b", i))
		b.setText("room", "r0")
		b.setText("dial", fmt.Sprintf("127.0.0.1:%d", 9000+i))
		b.setNumber("cores", "", 2)
		b.setNumber("slots", "", float64(8+r.IntN(8)))
		b.setNumber("queue", "", float64(r.IntN(40)))
	}
	pool := addBlock("pool", "main")
	pool.setList("members", "b0")
	rest := addBlock("pool", "rest")
	for i := 1; i < boxes; i++ {
		rest.fields = append(rest.fields[:0], sampleField{name: "members", unit: "list", list: append(slices.Clone(listField(rest)), fmt.Sprint("b", i))})
	}
	for i := range 2 + r.IntN(5) {
		b := addBlock("route", fmt.Sprint("t", i))
		b.setText("path", fmt.Sprintf("/s%d/", i))
		b.setText("pool", []string{"main", "rest"}[(i+r.IntN(2))%2])
		if r.IntN(2) == 0 {
			b.setNumber("deadline", "ms", float64(5000+r.IntN(3000)))
		}
		if r.IntN(2) == 0 {
			b.setNumber("attempts", "", float64(1+r.IntN(3)))
		}
		if r.IntN(3) == 0 {
			b.setList("methods", "GET", "POST")
		}
		if r.IntN(3) == 0 {
			b.fields = append(b.fields, sampleField{name: "headers", unit: "map", list: []string{"X-A", "1", "X-B", "2"}})
		}
		if r.IntN(3) == 0 {
			b.setNumber("max_body", "B", float64(1024*(1+r.IntN(32))))
		}
	}
	if r.IntN(2) == 0 {
		b := addBlock("rules", "")
		b.setNumber("attempts", "", float64(1+r.IntN(5)))
		b.setNumber("drain_grace", "ms", float64(100+r.IntN(900)))
	}
	return s
}

func listField(b *sampleBlock) []string {
	for _, f := range b.fields {
		if f.unit == "list" {
			return f.list
		}
	}
	return nil
}

// write returns the files of the sample. If r is not nil, the form is random: order, layout,
// comments, spelling of units, values in locals and variables, route settings in policies,
// and blocks in included files.
func (s *sample) write(r *rand.Rand) map[string]string {
	files := map[string]*strings.Builder{"main.hcl": {}}
	names := []string{"main.hcl"}
	if r != nil && r.IntN(2) == 0 {
		files["more/one.hcl"], files["more/two.hcl"], names = &strings.Builder{}, &strings.Builder{}, []string{"main.hcl", "more/one.hcl", "more/two.hcl"}
	}
	randomFile := func() *strings.Builder {
		if r == nil {
			return files["main.hcl"]
		}
		return files[names[r.IntN(len(names))]]
	}
	if len(names) > 1 {
		if r.IntN(2) == 0 {
			files["main.hcl"].WriteString("include \"more/*.hcl\" {}\n")
		} else {
			files["main.hcl"].WriteString("include \"more/one.hcl\" {}\n")
			files["more/one.hcl"].WriteString("include \"two.hcl\" {}\n")
		}
	}
	blocks, extraNames := slices.Clone(s.blocks), 0
	if r != nil {
		r.Shuffle(len(blocks), func(i, k int) { blocks[i], blocks[k] = blocks[k], blocks[i] })
	}
	for _, b := range blocks {
		fields := slices.Clone(b.fields)
		var policy []sampleField
		if r != nil {
			r.Shuffle(len(fields), func(i, k int) { fields[i], fields[k] = fields[k], fields[i] })
			if b.kind == "route" && r.IntN(2) == 0 {
				fields = slices.DeleteFunc(fields, func(f sampleField) bool {
					if schema.find("policy").field(f.name) == nil {
						return false
					}
					policy = append(policy, f)
					return true
				})
			}
		}
		var lines []string
		for _, f := range fields {
			lines = append(lines, f.name+" = "+f.write(r, randomFile(), &extraNames))
		}
		if len(policy) > 0 {
			extraNames++
			name := fmt.Sprint("policy-", extraNames)
			lines = append(lines, fmt.Sprintf("policy = %q", name))
			var inner []string
			for _, f := range policy {
				inner = append(inner, f.name+" = "+f.write(r, randomFile(), &extraNames))
			}
			writeBlock(randomFile(), r, "policy", name, inner)
		}
		writeBlock(randomFile(), r, b.kind, b.name, lines)
	}
	out := map[string]string{}
	for name, b := range files {
		out[name] = b.String()
	}
	return out
}

func writeBlock(w *strings.Builder, r *rand.Rand, kind, name string, lines []string) {
	pad := func() string {
		if r == nil {
			return "  "
		}
		return strings.Repeat(" ", r.IntN(6))
	}
	if r != nil && r.IntN(3) == 0 {
		w.WriteString([]string{"# a comment\n", "// another\n", "/* and\n one */\n", "\n\n\n"}[r.IntN(4)])
	}
	w.WriteString(pad()[:0] + kind)
	if name != "" {
		fmt.Fprintf(w, " %q", name)
	}
	w.WriteString(" {\n")
	for _, l := range lines {
		w.WriteString(pad() + l)
		if r != nil && r.IntN(5) == 0 {
			w.WriteString(" # why")
		}
		w.WriteByte('\n')
		if r != nil && r.IntN(6) == 0 {
			w.WriteByte('\n')
		}
	}
	w.WriteString("}\n")
}

// write returns a value in a random spelling, possibly as a reference to a local or variable
// that it defines in w.
func (f *sampleField) write(r *rand.Rand, w *strings.Builder, extraNames *int) string {
	pick := func(spellings ...string) string {
		if r == nil {
			return spellings[0]
		}
		return spellings[r.IntN(len(spellings))]
	}
	formatNumber := func(v float64) string { return formatQuantity(v, kindNumber) }
	var text string
	switch f.unit {
	case "ms":
		text = pick(fmt.Sprintf("%q", formatNumber(f.num)+"ms"), fmt.Sprintf("%q", formatNumber(f.num/1000)+"s"), fmt.Sprintf("%q", formatNumber(f.num*1000)+"us"), fmt.Sprintf(`"%sms%dus"`, formatNumber(f.num), 0))
	case "/s":
		text = pick(fmt.Sprintf("%q", formatNumber(f.num)+"/s"), fmt.Sprintf("%q", formatNumber(f.num*60)+"/m"), fmt.Sprintf("%q", formatNumber(f.num*3600)+"/h"))
	case "%":
		text = pick(fmt.Sprintf("%q", formatNumber(f.num)+"%"), fmt.Sprintf("%q", formatNumber(f.num)+" %"))
	case "B":
		text = pick(fmt.Sprintf("%q", formatNumber(f.num)+"B"), fmt.Sprintf("%q", formatNumber(f.num/1024)+"KiB"))
	case "":
		point := ".0"
		if strings.Contains(formatNumber(f.num), ".") {
			point = "0"
		}
		text = pick(formatNumber(f.num), formatNumber(f.num)+point, fmt.Sprintf("%s + 1", formatNumber(f.num-1)), "("+formatNumber(f.num)+")")
	case "text":
		text = fmt.Sprintf("%q", f.text)
	case "list":
		list := slices.Clone(f.list)
		if r != nil {
			r.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
		}
		for i := range list {
			list[i] = fmt.Sprintf("%q", list[i])
		}
		text = "[" + strings.Join(list, pick(", ", ",", ",\n    ")) + "]"
	case "map":
		pairs := []string{fmt.Sprintf("%q = %q", f.list[0], f.list[1]), fmt.Sprintf("%q = %q", f.list[2], f.list[3])}
		if r != nil && r.IntN(2) == 0 {
			slices.Reverse(pairs)
			pairs[0] = strings.ToLower(pairs[0])
		}
		text = "{ " + strings.Join(pairs, ", ") + " }"
	}
	if r == nil || r.IntN(6) > 0 || strings.Contains(text, "\n") {
		return text
	}
	*extraNames++
	if r.IntN(2) == 0 || f.unit == "list" || f.unit == "map" {
		name := fmt.Sprint("l", *extraNames)
		fmt.Fprintf(w, "locals {\n  %s = %s\n}\n", name, text)
		return "local." + name
	}
	name := fmt.Sprint("v", *extraNames)
	fmt.Fprintf(w, "variable %q {\n  default = %s\n}\n", name, text)
	return "var." + name
}
