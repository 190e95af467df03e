//! Parses typed values from form fields.

use std::str::FromStr;

use serde::Serialize;
use serde_json::Value;

use crate::forms::form_fault::FormFault;
use crate::forms::time_text::read_time;
use crate::inputs::Inputs;

/// Parses fields and collects the faults; a field that cannot be parsed yields a placeholder value.
pub(crate) struct Reader<'a> {
    inputs: &'a Inputs,
    faults: Vec<FormFault>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(inputs: &'a Inputs) -> Self {
        let faults = Vec::new();
        Self { inputs, faults }
    }

    pub(crate) fn fault(&mut self, field: &str, message: impl Into<String>) {
        self.faults.push(FormFault::for_field(field, message));
    }

    pub(crate) fn text(&self, field: &str) -> String {
        self.inputs.get(field).trim().to_owned()
    }

    /// Returns the text and records a fault when it is empty.
    pub(crate) fn required(&mut self, field: &str, message: &str) -> String {
        let text = self.text(field);
        if text.is_empty() {
            self.fault(field, message);
        }
        text
    }

    pub(crate) fn whole_number<T: FromStr + Default>(&mut self, field: &str) -> T {
        let text = self.text(field);
        text.parse().unwrap_or_else(|_| {
            self.fault(field, "enter a whole number in digits, like 5000");
            T::default()
        })
    }

    pub(crate) fn decimal(&mut self, field: &str) -> f64 {
        let text = self.text(field);
        self.parse_decimal(field, &text)
    }

    pub(crate) fn optional_decimal(&mut self, field: &str) -> Option<f64> {
        let text = self.text(field);
        (!text.is_empty()).then(|| self.parse_decimal(field, &text))
    }

    pub(crate) fn parse_decimal(&mut self, field: &str, text: &str) -> f64 {
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() => number,
            _ => {
                self.fault(
                    field,
                    "enter a number, with a decimal point if needed, like 0.5",
                );
                1.0
            }
        }
    }

    pub(crate) fn lines(&self, field: &str) -> Vec<String> {
        let lines = self.inputs.get(field).lines().map(str::trim);
        let lines = lines.filter(|line| !line.is_empty());
        lines.map(str::to_owned).collect()
    }

    pub(crate) fn choices(&self, field: &str) -> Vec<String> {
        self.inputs.all(field).map(str::to_owned).collect()
    }

    pub(crate) fn flag(&self, field: &str) -> bool {
        !self.inputs.get(field).is_empty()
    }

    /// Returns the time in the format of the document; records a fault and returns the text when it is not a time.
    pub(crate) fn time(&mut self, field: &str) -> String {
        let text = self.text(field);
        read_time(&text).unwrap_or_else(|| {
            self.fault(field, "enter date and time in UTC, like 2026-12-03 20:00");
            text
        })
    }

    /// Returns the choice with the submitted value; records a fault and returns the first choice when none has it.
    pub(crate) fn one_of<T: Copy>(&mut self, field: &str, choices: &[(&str, T)]) -> T {
        let text = self.text(field);
        let found = choices.iter().find(|(value, _)| *value == text);
        found
            .or(choices.first())
            .filter(|_| found.is_some())
            .map_or_else(
                || {
                    self.fault(field, "choose one of the listed options");
                    choices[0].1
                },
                |(_, choice)| *choice,
            )
    }

    /// Returns the entry as JSON and the recorded faults.
    pub(crate) fn finish(self, entry: &impl Serialize) -> (Value, Vec<FormFault>) {
        // An entry contains only finite numbers and text, which always serialize to JSON.
        let value = serde_json::to_value(entry).unwrap_or(Value::Null);
        (value, self.faults)
    }
}
