//! HTML of form fields.

use crate::forms::{Choice, Field, FieldKind, FormFault};
use crate::html::{Element, Html, element};
use crate::inputs::Inputs;

/// Returns a field with its label, hint, value and faults.
pub(crate) fn field_html(field: &Field, inputs: &Inputs, faults: &[FormFault]) -> Html {
    let own = faults
        .iter()
        .filter(|fault| fault.field.as_deref() == Some(field.name));
    let messages: Vec<&str> = own.map(|fault| fault.message.as_str()).collect();
    let control = Control {
        field,
        inputs,
        id: format!("f-{}", field.name),
        described_by: described_by(field, !messages.is_empty()),
        invalid: !messages.is_empty(),
    };
    let notes = notes(field, &messages);
    match &field.kind {
        FieldKind::Text | FieldKind::Number => labelled(&control, notes, control.input()),
        FieldKind::Lines => labelled(&control, notes, control.lines()),
        FieldKind::Select(choices) => labelled(&control, notes, control.select(choices)),
        FieldKind::Flag => control.flag(notes),
        FieldKind::Choices(choices) => control.choices(choices, notes),
    }
}

struct Control<'a> {
    field: &'a Field,
    inputs: &'a Inputs,
    id: String,
    described_by: Option<String>,
    invalid: bool,
}

fn described_by(field: &Field, faulty: bool) -> Option<String> {
    let mut ids = Vec::new();
    if faulty {
        ids.push(format!("f-{}-fault", field.name));
    }
    if !field.hint.is_empty() {
        ids.push(format!("f-{}-hint", field.name));
    }
    (!ids.is_empty()).then(|| ids.join(" "))
}

fn notes(field: &Field, messages: &[&str]) -> Html {
    let mut notes = Html::new();
    if !field.hint.is_empty() {
        let hint = element("p")
            .attr("class", "hint")
            .attr("id", &format!("f-{}-hint", field.name));
        notes = notes.child(hint.text(field.hint));
    }
    if !messages.is_empty() {
        let fault = element("p")
            .attr("class", "fault")
            .attr("id", &format!("f-{}-fault", field.name));
        notes = notes.child(fault.text(&format!("Error: {}", messages.join(". "))));
    }
    notes
}

fn labelled(control: &Control<'_>, notes: Html, input: Element) -> Html {
    let label = element("label")
        .attr("for", &control.id)
        .text(control.field.label);
    element("div")
        .attr("class", "field")
        .child(label)
        .child(notes)
        .child(input)
        .into()
}

impl Control<'_> {
    fn with_id_and_aria(&self, element: Element) -> Element {
        let invalid = self.invalid.then_some("true");
        element
            .attr("id", &self.id)
            .attr_if("aria-invalid", invalid)
            .attr_if("aria-describedby", self.described_by.as_deref())
    }

    fn named_element(&self, tag: &'static str) -> Element {
        self.with_id_and_aria(element(tag))
            .attr("name", self.field.name)
    }

    fn input(&self) -> Element {
        let numeric = self.field.kind == FieldKind::Number;
        self.named_element("input")
            .attr("type", "text")
            .attr_if("inputmode", numeric.then_some("decimal"))
            .attr("autocomplete", "off")
            .attr("value", self.inputs.get(self.field.name))
    }

    fn lines(&self) -> Element {
        // Browsers drop the first newline after the start tag, so an extra one keeps a leading newline of the value.
        self.named_element("textarea")
            .attr("rows", "4")
            .text("\n")
            .text(self.inputs.get(self.field.name))
    }

    fn select(&self, choices: &[Choice]) -> Element {
        let typed = self.inputs.get(self.field.name);
        let known = choices.iter().any(|choice| choice.value == typed);
        let mut select = self.named_element("select");
        if !known {
            let label = if typed.is_empty() {
                "choose one"
            } else {
                typed
            };
            select = select.child(option(&Choice::labelled(typed, label), true));
        }
        select.children(choices.iter().map(|c| option(c, c.value == typed)))
    }

    fn flag(&self, notes: Html) -> Html {
        let input = self
            .named_element("input")
            .attr("type", "checkbox")
            .attr("value", "yes")
            .flag("checked", !self.inputs.get(self.field.name).is_empty());
        let label = element("label")
            .child(input)
            .text(" ")
            .text(self.field.label);
        element("div")
            .attr("class", "field")
            .child(label)
            .child(notes)
            .into()
    }

    fn choices(&self, choices: &[Choice], notes: Html) -> Html {
        let chosen: Vec<&str> = self.inputs.all(self.field.name).collect();
        let unknown = chosen
            .iter()
            .filter(|value| !choices.iter().any(|c| c.value == **value));
        let unknown: Vec<Choice> = unknown.map(|value| Choice::of(value)).collect();
        let boxes = choices.iter().chain(&unknown).map(|choice| {
            let input = element("input")
                .attr("type", "checkbox")
                .attr("name", self.field.name)
                .attr("value", &choice.value)
                .flag("checked", chosen.contains(&choice.value.as_str()));
            let label = element("label").child(input).text(" ").text(&choice.label);
            element("div").child(label)
        });
        self.with_id_and_aria(element("fieldset"))
            .attr("tabindex", "-1")
            .child(element("legend").text(self.field.label))
            .child(notes)
            .children(boxes)
            .into()
    }
}

fn option(choice: &Choice, selected: bool) -> Element {
    element("option")
        .attr("value", &choice.value)
        .flag("selected", selected)
        .text(&choice.label)
}
