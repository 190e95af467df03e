//! The two-byte encoding of a target's load report.

use crate::load_report::LoadReport;

/// Request counts up to this value are encoded exactly; above it, the scale is logarithmic.
const EXACT_REQUESTS: u32 = 64;
/// Steps per doubling of the request count above [`EXACT_REQUESTS`]; the error is below 2.3%.
const LOAD_STEPS_PER_OCTAVE: f64 = 16.0;
/// Steps per doubling of the speed; the error is below 4.5%.
const SPEED_STEPS_PER_OCTAVE: f64 = 8.0;
/// The code of a speed of one token per second. Code 1 is the lowest speed, 1/16 token per second; code 0 is an
/// unknown speed.
const SPEED_OFFSET: f64 = 33.0;

/// Encodes a report in two bytes: the number of requests and the speed.
#[must_use]
pub fn encode_load(report: &LoadReport) -> [u8; 2] {
    [
        encode_requests(report.requests),
        encode_speed(report.speed_tokens_per_s),
    ]
}

/// Decodes a report from its two bytes.
#[must_use]
pub fn decode_load(bytes: [u8; 2]) -> LoadReport {
    LoadReport {
        requests: decode_requests(bytes[0]),
        speed_tokens_per_s: decode_speed(bytes[1]),
    }
}

fn encode_requests(requests: u32) -> u8 {
    if requests <= EXACT_REQUESTS {
        return requests as u8;
    }
    let octaves = (f64::from(requests) / f64::from(EXACT_REQUESTS)).log2();
    let code = f64::from(EXACT_REQUESTS) + octaves * LOAD_STEPS_PER_OCTAVE;
    code.round().min(255.0) as u8
}

fn decode_requests(code: u8) -> u32 {
    let code = u32::from(code);
    if code <= EXACT_REQUESTS {
        return code;
    }
    let octaves = f64::from(code - EXACT_REQUESTS) / LOAD_STEPS_PER_OCTAVE;
    (f64::from(EXACT_REQUESTS) * octaves.exp2()).round() as u32
}

fn encode_speed(speed: Option<f64>) -> u8 {
    let Some(speed) = speed.filter(|speed| *speed > 0.0) else {
        return 0;
    };
    let code = SPEED_OFFSET + speed.log2() * SPEED_STEPS_PER_OCTAVE;
    code.round().clamp(1.0, 255.0) as u8
}

fn decode_speed(code: u8) -> Option<f64> {
    if code == 0 {
        return None;
    }
    Some(((f64::from(code) - SPEED_OFFSET) / SPEED_STEPS_PER_OCTAVE).exp2())
}
