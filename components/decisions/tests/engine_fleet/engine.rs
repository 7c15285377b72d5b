//! An engine that processes pieces of prompts between the tokens of its streams.

use std::collections::VecDeque;
use std::time::Duration;

use wagtailledge_decisions::Moment;
use wagtailledge_decisions::event::UpstreamLoad;
use wagtailledge_decisions::request::RequestKey;
use wagtailledge_decisions::routing::PromptWork;

/// Prompt tokens that are processed in a step.
const PIECE: u32 = 2_048;
/// Prompt tokens that are processed in a ms at pace 1.
const TOKENS_PER_MS: f64 = 38.0;
/// Time of a step without prompts at pace 1, and for each stream.
const STEP_MS: f64 = 5.2;
const STREAM_MS: f64 = 0.01;
/// Tokens of an event.
const EVENT_TOKENS: u32 = 6;
/// Tokens of prompts that are kept.
const MEMORY: u32 = 240_000;
/// Pace of a short peak, its length and the time between two of them, in steps.
const PEAK_PACE: f64 = 2.5;
const PEAK_STEPS: usize = 3;
const PEAK_INTERVAL: usize = 100;

/// What a stream shows.
#[derive(Debug, Clone, Copy)]
pub enum Notice {
    Event(RequestKey),
    End(RequestKey),
}

#[derive(Debug)]
pub struct SimulatedEngine {
    pace: f64,
    /// Prompts that are not processed, with the tokens left; `None` before it is known what is kept.
    queue: VecDeque<(RequestKey, PromptWork, Option<u32>)>,
    /// Streams with the tokens sent and the tokens of the whole answer.
    streams: Vec<(RequestKey, u32, u32)>,
    /// Kept parts with their tokens, the latest used last. Parts of one request have no hash.
    kept: VecDeque<(Option<u64>, u32)>,
    /// End of the step in progress.
    step_end: Option<Moment>,
    steps: usize,
}

impl SimulatedEngine {
    pub fn new(pace: f64, offset: usize) -> Self {
        let (queue, streams, kept) = (VecDeque::new(), Vec::new(), VecDeque::new());
        Self { pace, queue, streams, kept, step_end: None, steps: offset * 37 }
    }

    pub fn accept(&mut self, request: RequestKey, prompt: PromptWork) {
        self.queue.push_back((request, prompt, None));
    }

    /// Load as the head of an answer states it.
    pub fn load(&self) -> UpstreamLoad {
        let running = (self.queue.len() + self.streams.len()) as u32;
        let pace = Some((self.momentary_pace() * 100.0) as u16);
        UpstreamLoad { running, waiting: 0, pace }
    }

    fn momentary_pace(&self) -> f64 {
        let in_peak = self.steps % PEAK_INTERVAL < PEAK_STEPS;
        if in_peak { PEAK_PACE } else { self.pace }
    }

    /// Tokens of the prompt that are not kept; keeps all of its parts.
    fn uncached(&mut self, prompt: &PromptWork) -> u32 {
        let own = prompt.tokens - prompt.shared;
        let at = self.kept.iter().position(|(part, _)| *part == prompt.prefix);
        let was_kept = at.and_then(|at| self.kept.remove(at)).is_some();
        self.kept.push_back((None, own));
        self.kept.push_back((prompt.prefix, prompt.shared));
        while self.kept.iter().map(|(_, tokens)| tokens).sum::<u32>() > MEMORY {
            self.kept.pop_front();
        }
        if was_kept { own } else { prompt.tokens }
    }

    /// Ends the step that is due and begins the next one.
    pub fn advance(&mut self, now: Moment) -> Vec<Notice> {
        if self.step_end.is_some_and(|end| end > now) {
            return Vec::new();
        }
        let begin = self.step_end.take();
        let notices = if begin.is_some() { self.end_step() } else { Vec::new() };
        if self.queue.is_empty() && self.streams.is_empty() {
            return notices;
        }
        let mut budget = PIECE;
        for at in 0..self.queue.len() {
            let (_, prompt, left) = self.queue[at];
            let left = left.unwrap_or_else(|| self.uncached(&prompt));
            let piece = left.min(budget);
            budget -= piece;
            self.queue[at].2 = Some(left - piece);
            if budget == 0 {
                break;
            }
        }
        let piece_ms = f64::from(PIECE - budget) / TOKENS_PER_MS;
        let step_ms = STEP_MS.max(piece_ms) + STREAM_MS * self.streams.len() as f64;
        let step = Duration::from_secs_f64(step_ms * self.momentary_pace() / 1e3);
        self.step_end = Some(begin.unwrap_or(now).after(step));
        self.steps += 1;
        notices
    }

    fn end_step(&mut self) -> Vec<Notice> {
        let mut notices = Vec::new();
        for (request, sent, output) in &mut self.streams {
            *sent += 1;
            if sent.is_multiple_of(EVENT_TOKENS) {
                notices.push(Notice::Event(*request));
            }
            if sent == output {
                notices.push(Notice::End(*request));
            }
        }
        self.streams.retain(|(_, sent, output)| sent < output);
        while self.queue.front().is_some_and(|(_, _, left)| *left == Some(0)) {
            let processed = self.queue.pop_front();
            self.streams.extend(processed.map(|(request, prompt, _)| (request, 0, prompt.output)));
        }
        notices
    }
}
