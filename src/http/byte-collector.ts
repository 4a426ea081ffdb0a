/**
 * Collects the pieces of a body. Small pieces are copied into blocks, since each piece that is kept takes hundreds
 * of bytes besides its own; so what is held stays in proportion to the bytes that were received. The time that the
 * parser takes for each piece cannot be saved, so a body of very many tiny pieces counts as faulty.
 */
import {Buffer} from 'node:buffer';

/** Pieces from this size on are kept as they are. */
const largePieceBytes = 4096;
const minimumBlockBytes = 256;
const maximumBlockBytes = 16_384;
/** Beyond so many pieces, they have to be of some size on average. */
const freePieces = 8192;
const minimumMeanPieceBytes = 32;

export type ByteCollector = {
	readonly add: (piece: Uint8Array) => void;
	/** Bytes that were added and not taken. */
	readonly byteLength: () => number;
	/** Whether the body came in so many tiny pieces that reading on takes too much of the processor. */
	readonly isTooFine: () => boolean;
	/** Takes everything that was added. */
	readonly take: () => Uint8Array;
};

/** @returns a collector without bytes */
export function createByteCollector(): ByteCollector {
	let blocks: Uint8Array[] = [];
	/** The last block, as long as it has room; it is not among the others. */
	let open: Uint8Array | undefined;
	let openLength = 0;
	let total = 0;
	let pieces = 0;
	let received = 0;

	function closeBlock(): void {
		if (open !== undefined && openLength > 0) {
			blocks.push(open.subarray(0, openLength));
		}

		open = undefined;
		openLength = 0;
	}

	function copy(piece: Uint8Array): void {
		let offset = 0;
		while (offset < piece.length) {
			if (open === undefined || openLength === open.length) {
				closeBlock();
				const wanted = Math.max(total, piece.length - offset, minimumBlockBytes);
				open = Buffer.allocUnsafeSlow(Math.min(wanted, maximumBlockBytes));
			}

			const part = piece.subarray(offset, offset + open.length - openLength);
			open.set(part, openLength);
			openLength += part.length;
			offset += part.length;
		}
	}

	return {
		add(piece) {
			if (piece.length >= largePieceBytes) {
				closeBlock();
				blocks.push(piece);
			} else {
				copy(piece);
			}

			total += piece.length;
			received += piece.length;
			pieces += 1;
		},
		byteLength: () => total,
		isTooFine: () => pieces > freePieces && received < pieces * minimumMeanPieceBytes,
		take() {
			closeBlock();
			const taken = blocks.length === 1 ? blocks[0]! : Buffer.concat(blocks);
			blocks = [];
			total = 0;
			return taken;
		},
	};
}

/** @returns the error of a body that came in too many tiny pieces */
export function createTooFineError(): Error {
	return new Error('the body came in too many tiny pieces: send larger chunks');
}
