//! Cuts a document into blocks at places that depend on its bytes, not on their position. A change within a
//! document therefore leaves the blocks before and after it as they are, and only the changed ones are sent.

/// Fewest bytes in a block, unless the document ends.
const MIN_BLOCK_BYTES: usize = 2 * 1024;
/// Most bytes in a block.
pub const MAX_BLOCK_BYTES: usize = 16 * 1024;
/// A block ends where these bits of the rolling hash are zero: on average 8 KiB after its fewest bytes. The highest
/// bits depend on the most bytes before the place.
const END_MASK: u64 = 0x1fff << 51;
/// One random number for each byte value.
const GEAR: [u64; 256] = gear();

/// Returns the lengths of a document's blocks, in order.
pub fn cut(document: &[u8]) -> Vec<usize> {
    let mut lengths = Vec::new();
    let mut rest = document;
    while !rest.is_empty() {
        let length = first_block(rest);
        lengths.push(length);
        rest = &rest[length..];
    }
    lengths
}

fn first_block(bytes: &[u8]) -> usize {
    let most = bytes.len().min(MAX_BLOCK_BYTES);
    let mut hash = 0_u64;
    for (at, byte) in bytes[..most].iter().enumerate().skip(MIN_BLOCK_BYTES) {
        hash = (hash << 1).wrapping_add(GEAR[usize::from(*byte)]);
        if hash & END_MASK == 0 {
            return at + 1;
        }
    }
    most
}

/// Fills the table with the generator splitmix64.
const fn gear() -> [u64; 256] {
    let mut table = [0; 256];
    let mut state = 0_u64;
    let mut at = 0;
    while at < table.len() {
        state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        table[at] = mixed ^ (mixed >> 31);
        at += 1;
    }
    table
}
