//! Guards against chunks that exceed the limits on bytes and items, which happens when many or large items are packed
//! together, and against items that decode to other bytes than were encoded. A damaged value must be an error, not a
//! shorter chunk.

use eel_batch::{
    Item, ItemIndex, Response,
    chunk::{self, MAX_BYTES, MAX_ITEMS},
};

/// Returns text that hardly compresses.
fn noise(bytes: usize, seed: u64) -> String {
    let mut state = seed | 1;
    let mut next = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        char::from(b'!' + u8::try_from((state >> 33) % 90).unwrap())
    };
    (0..bytes).map(|_| next()).collect()
}

#[test]
fn limits_of_a_chunk() {
    // Items, bytes of each, minimum number of chunks.
    let cases = [
        (1, 10, 1),
        (1_000, 10, 1),
        (1_001, 10, 2),
        (71_000, 40, 71),
        (40, 100_000, 4),
    ];
    for (items, bytes, least) in cases {
        let lines: Vec<String> = (0..items).map(|item| noise(bytes, item)).collect();
        let chunks = chunk::pack_all(&lines).unwrap();
        assert!(
            chunks.len() >= least,
            "{items} items of {bytes}: {}",
            chunks.len()
        );
        assert!(chunks.iter().all(|chunk| chunk.bytes.len() <= MAX_BYTES));
        assert!(chunks.iter().all(|chunk| chunk.lines as usize <= MAX_ITEMS));
        let unpacked = chunks.iter().flat_map(|chunk| {
            let lines = chunk::unpack::<String>(&chunk.bytes).unwrap();
            assert_eq!(lines.len(), chunk.lines as usize);
            lines
        });
        assert!(unpacked.eq(lines.iter().cloned()));
    }
}

#[test]
fn one_item_too_large() {
    let lines = [noise(10, 1), noise(1_000_000, 2)];
    let report = chunk::pack_all(&lines).unwrap_err();
    assert_eq!(*report.current_context(), chunk::Error::TooLarge(1));
}

#[test]
fn damaged_value() {
    let packed = chunk::pack(&["a", "b"]).unwrap();
    let truncated = &packed.bytes[..packed.bytes.len() - 2];
    for damaged in [&b"not zstd"[..], truncated] {
        assert!(chunk::unpack::<String>(damaged).is_err());
    }
}

#[test]
fn bodies_keep_their_bytes() {
    let line = r#"{"custom_id":"a","method":"POST","url":"/x","body":{"b": 1.50,  "a":[ ]}}"#;
    let item: Item = serde_json::from_str(line).unwrap();
    let packed = chunk::pack(&[item]).unwrap();
    let back: Vec<Item> = chunk::unpack(&packed.bytes).unwrap();
    assert_eq!(
        back[0].body.as_ref().unwrap().get(),
        r#"{"b": 1.50,  "a":[ ]}"#
    );
    assert_eq!(
        Response::from_bytes(200, b"plain \"text\"").body.get(),
        r#""plain \"text\"""#
    );
    assert_eq!(ItemIndex(7).to_string(), "000007");
}
