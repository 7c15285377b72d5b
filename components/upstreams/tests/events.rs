//! Event boundaries in streams that arrive in arbitrary parts.

use bytes::Bytes;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::quickcheck;
use wagtailledge_upstreams::EventSplitter;

/// Pieces of text that random streams consist of.
const PIECES: [&str; 8] = ["\n", "\r", "\r\n", "id: 7", "data: x", ": comment", "z", "id: none"];

/// The text of a stream, and the lengths of the parts in which it arrives.
#[derive(Debug, Clone)]
struct PartedStream {
    text: String,
    part_lengths: Vec<u8>,
}

impl Arbitrary for PartedStream {
    fn arbitrary(g: &mut Gen) -> Self {
        let pieces = Vec::<u8>::arbitrary(g);
        let text = pieces.iter().map(|piece| PIECES[usize::from(*piece) % PIECES.len()]).collect();
        Self { text, part_lengths: Vec::arbitrary(g) }
    }
}

/// Bytes to forward, bytes after the last event, last event id, whether an event was complete.
type Splitting = (Vec<u8>, usize, Option<u64>, bool);

fn split(parts: impl Iterator<Item = Bytes>, holds_back: bool) -> Splitting {
    let mut splitter = EventSplitter::new(holds_back);
    let forwarded = parts.flat_map(|part| splitter.push(part)).collect();
    (forwarded, splitter.open_bytes(), splitter.last_event(), splitter.has_event())
}

fn parts(stream: &PartedStream) -> impl Iterator<Item = Bytes> {
    let mut rest = Bytes::copy_from_slice(stream.text.as_bytes());
    let mut lengths = stream.part_lengths.iter();
    std::iter::from_fn(move || {
        let length = lengths.next().map_or(rest.len(), |length| rest.len().min((*length).into()));
        let is_last = rest.is_empty();
        (!is_last).then(|| rest.split_to(length))
    })
}

/// A stream of `count` events whose lines end with `line_end`.
fn events(count: usize, line_end: &str) -> String {
    let event = |id| format!("id: {id}{line_end}data: {id}{line_end}{line_end}");
    (1..=count).map(event).collect::<Vec<String>>().concat()
}

quickcheck! {
    fn can_split_the_same_way_in_any_parts(stream: PartedStream) -> bool {
        let whole = std::iter::once(Bytes::copy_from_slice(stream.text.as_bytes()));
        split(whole, true) == split(parts(&stream), true)
    }

    fn can_forward_all_but_the_open_bytes(stream: PartedStream) -> bool {
        let (forwarded, open, _, _) = split(parts(&stream), true);
        forwarded == stream.text.as_bytes()[..stream.text.len() - open]
    }

    fn can_forward_every_byte_if_nothing_is_held_back(stream: PartedStream) -> bool {
        let (_, open, last_event, has_event) = split(parts(&stream), true);
        split(parts(&stream), false) == (stream.text.into_bytes(), open, last_event, has_event)
    }
}

#[test]
fn can_tell_every_cut_inside_an_event_from_a_boundary() {
    for line_end in ["\n", "\r\n", "\r"] {
        let text = events(3, line_end);
        let boundaries = (0..=3).map(|count| events(count, line_end).len());
        let boundaries: Vec<usize> = boundaries.collect();
        for cut in 0..=text.len() {
            let part = Bytes::copy_from_slice(&text.as_bytes()[..cut]);
            let (_, open, last_event, has_event) = split(std::iter::once(part), true);
            let complete = boundaries.iter().filter(|end| **end > 0 && **end <= cut).count();
            assert_eq!(open == 0, boundaries.contains(&cut), "{line_end:?} cut at {cut}");
            assert_eq!(last_event, (complete > 0).then_some(complete as u64), "cut at {cut}");
            assert_eq!(has_event, complete > 0, "{line_end:?} cut at {cut}");
        }
    }
}

#[test]
fn can_tell_whether_the_last_event_has_a_numeric_id() {
    let long_id = format!("id: {}\n\n", "9".repeat(40));
    for (text, last_event, continues_after_3) in [
        ("id: 4\ndata: a\n\nid:5\n\n", Some(5), true),
        ("id: 3\n\nid: 4\n\n", Some(4), false),
        ("id: 4\n\nid: 2\n\n", Some(2), false),
        ("id: 4\n\ndata: no id\n\n", None, false),
        ("id: 4\n\nid: four\n\n", None, false),
        ("id: 4\n\n: comment\n\n", Some(4), true),
        ("id: 4\n\nid: 3\n", Some(4), true),
        ("data: id: 4\n\n", None, false),
        (&long_id, None, false),
        ("", None, true),
    ] {
        let mut splitter = EventSplitter::new(true);
        splitter.push(Bytes::copy_from_slice(text.as_bytes()));
        assert_eq!(splitter.last_event(), last_event, "{text:?}");
        assert_eq!(splitter.continues_after(3), continues_after_3, "{text:?}");
    }
}

#[test]
fn can_ignore_comments_and_empty_lines_as_events() {
    let text = Bytes::from_static(b"\n: ping\n\n\n");
    let (forwarded, open, last_event, has_event) = split(std::iter::once(text.clone()), true);
    assert_eq!((forwarded, open, last_event, has_event), (text.to_vec(), 0, None, false));
}

/// Guards against a status line that is not seen because it arrives in two parts.
#[test]
fn can_stop_before_a_second_answer_wherever_its_parts_are_split() {
    let own = "id: 1\ndata: HTTP/1.1 200 OK\n\n";
    let text = format!("{own}HTTP/1.1 200 OK\r\n\r\nid: 1\n\n");
    for cut in 0..text.len() {
        for holds_back in [false, true] {
            let mut splitter = EventSplitter::new(holds_back);
            let (first, second) = text.as_bytes().split_at(cut);
            let mut forwarded = Vec::new();
            let mut stopped = false;
            for part in [first, second] {
                if !stopped {
                    let pushed = splitter.push_before_answer(Bytes::copy_from_slice(part));
                    forwarded.extend_from_slice(&pushed.part);
                    stopped = pushed.has_other_answer;
                }
            }
            assert!(stopped, "cut at {cut}");
            // Without holding back, the first bytes of the line may be gone already.
            let excess = forwarded.len() - own.len();
            assert!(forwarded.starts_with(own.as_bytes()), "cut at {cut}");
            assert!(excess == 0 || (!holds_back && excess < 7), "cut at {cut}: {excess}");
            assert!(splitter.is_continuable() == holds_back, "cut at {cut}");
        }
    }
}
