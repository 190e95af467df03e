//! Reading typed values out of form fields.

use std::str::FromStr;

use serde::Serialize;
use serde_json::Value;

use crate::forms::form_fault::FormFault;
use crate::forms::time_text::read_time;
use crate::inputs::Inputs;

/// Reads fields and collects the faults; a field with a fault yields a stand-in value.
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
        self.faults.push(FormFault::of(field, message));
    }

    pub(crate) fn text(&self, field: &str) -> String {
        self.inputs.get(field).trim().to_owned()
    }

    /// Returns the text, with a fault when it is empty.
    pub(crate) fn required(&mut self, field: &str, message: &str) -> String {
        let text = self.text(field);
        if text.is_empty() {
            self.fault(field, message);
        }
        text
    }

    pub(crate) fn whole<T: FromStr + Default>(&mut self, field: &str) -> T {
        let text = self.text(field);
        text.parse().unwrap_or_else(|_| {
            self.fault(field, "write a whole number in digits, like 5000");
            T::default()
        })
    }

    pub(crate) fn decimal(&mut self, field: &str) -> f64 {
        let text = self.text(field);
        self.decimal_of(field, &text)
    }

    pub(crate) fn optional_decimal(&mut self, field: &str) -> Option<f64> {
        let text = self.text(field);
        (!text.is_empty()).then(|| self.decimal_of(field, &text))
    }

    pub(crate) fn decimal_of(&mut self, field: &str, text: &str) -> f64 {
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() => number,
            _ => {
                self.fault(field, "write a number with a decimal point, like 0.5");
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

    /// Returns the time as the document writes it, or the typed text when it is no time.
    pub(crate) fn time(&mut self, field: &str) -> String {
        let text = self.text(field);
        read_time(&text).unwrap_or_else(|| {
            self.fault(field, "write date and time in UTC, like 2026-12-03 20:00");
            text
        })
    }

    /// Returns the choice whose value was sent.
    pub(crate) fn one_of<T: Copy>(&mut self, field: &str, choices: &[(&str, T)]) -> T {
        let text = self.text(field);
        let found = choices.iter().find(|(value, _)| *value == text);
        found
            .or(choices.first())
            .filter(|_| found.is_some())
            .map_or_else(
                || {
                    self.fault(field, "choose one of the list");
                    choices[0].1
                },
                |(_, choice)| *choice,
            )
    }

    /// Returns the value with the faults found so far.
    pub(crate) fn finish(self, entry: &impl Serialize) -> (Value, Vec<FormFault>) {
        // An entry holds finite numbers and text only, which always have a JSON form.
        let value = serde_json::to_value(entry).unwrap_or(Value::Null);
        (value, self.faults)
    }
}
