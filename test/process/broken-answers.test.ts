/**
 * Guards against a part of an answer that looks whole: a server answers an upload before it has read it, without a
 * length, and breaks off. The end of the connection then marks the end of the body, and a reset may look like it.
 */
import type {IncomingMessage} from 'node:http';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {countServed, startWithOneServer} from '../support/malformed-messages.js';
import {sendRaw, type RawAnswer, type RawRequest} from '../support/raw-caller.js';
import {
	createConfiguration,
	waitUntilReady,
	type RelayMesh,
	type RelayNode,
} from '../support/relay-mesh.js';

const configuration = {
	...(createConfiguration(1) as Record<string, unknown>),
	limits: {
		'max-header-bytes': 16_384,
		'max-body-bytes': 8_000_000,
		'header-timeout-ms': 3000,
		'idle-timeout-ms': 15_000,
	},
};
/** A reset that meets the upload while much of it is unwritten is the one that has looked like an orderly end. */
const unwritten = {upload: 3_000_000, resetAfter: 0, rounds: 6};
const uploads = [unwritten.upload, 600_000, 40_000];
/** The last is more than a node holds of an answer. */
const parts = [0, 5, 60_000, 400_000, 1_500_000];
const resetDelays = [unwritten.resetAfter, 5, 60];
/** Too large to be held, and not all sent by its caller when the answer comes. */
const slowUpload = {bytes: 1_200_000, bytesPerSecond: 1_000_000};
/** A node holds the first MiB of an upload in chunks, so that only the rest is still to come. */
const slowChunks = {bytes: 1_200_000, bytesPerSecond: 4_000_000};
const lines = ['HTTP/1.1 200 OK', 'HTTP/1.1 201 Created', 'HTTP/1.0 200 OK'];

type EarlyAnswer = {
	readonly upload: string;
	readonly isChunked: boolean;
	readonly uploadBytesPerSecond?: number | undefined;
	readonly line: string;
	readonly part: string;
	readonly resetAfter: number;
};

/** Every kind of answer to uploads of a size, with their length and in chunks. */
function listKinds(upload: number, uploadBytesPerSecond?: number): EarlyAnswer[] {
	return lines.flatMap(line =>
		parts.flatMap(part =>
			resetDelays.flatMap(resetAfter =>
				[false, true].map(isChunked => ({
					upload: 'u'.repeat(upload),
					isChunked,
					uploadBytesPerSecond,
					line,
					part: 'p'.repeat(part),
					resetAfter,
				})),
			),
		),
	);
}

function listEarlyAnswers(): EarlyAnswer[] {
	const answers = uploads.flatMap(upload => listKinds(upload));
	return answers.flatMap(answer => {
		const isUnwritten =
			answer.upload.length === unwritten.upload &&
			answer.resetAfter === unwritten.resetAfter;
		return Array.from({length: isUnwritten ? unwritten.rounds : 1}, () => answer);
	});
}

function listSlow(): EarlyAnswer[] {
	return [
		...listKinds(slowUpload.bytes, slowUpload.bytesPerSecond).filter(
			({isChunked}) => !isChunked,
		),
		...listKinds(slowChunks.bytes, slowChunks.bytesPerSecond).filter(
			({isChunked}) => isChunked,
		),
	];
}

function writeHead({socket}: IncomingMessage, line: string, requestId: string): void {
	socket.on('error', () => undefined);
	socket.write(
		`${line}\r\nConnection: close\r\nX-Request-Id: ${requestId}\r\nX-Response-Seal: seal-${requestId}\r\n\r\n`,
	);
}

function breakOff(answer: EarlyAnswer, request: IncomingMessage, id: string): void {
	const {socket} = request;
	writeHead(request, answer.line, id);
	socket.write(answer.part, () => {
		if (answer.resetAfter === 0) {
			socket.resetAndDestroy();
		} else {
			setTimeout(() => socket.resetAndDestroy(), answer.resetAfter);
		}
	});
}

/** Answers early, reads the upload to its end, and then ends the connection in order. */
function endInOrder(answer: EarlyAnswer, request: IncomingMessage, id: string): void {
	writeHead(request, answer.line, id);
	request.socket.write(answer.part);
	request.resume();
	request.once('end', () => {
		request.socket.end();
	});
}

let sent = 0;

async function sendUpload(
	{nodes}: RelayMesh,
	node: number,
	{upload, isChunked, uploadBytesPerSecond}: EarlyAnswer,
): Promise<RawAnswer> {
	sent += 1;
	return sendRaw({
		port: nodes[node]!.callersPort,
		requestId: `upload-${sent}`,
		method: 'POST',
		body: upload,
		isChunked,
		uploadBytesPerSecond,
	});
}

function describe(node: number, early: EarlyAnswer, got: RawAnswer): string {
	const {upload, uploadBytesPerSecond, part, resetAfter, line} = early;
	return `${node === 0 ? 'near' : 'far'}, ${line}, ${uploadBytesPerSecond === undefined ? '' : 'slow '}upload ${upload.length}, reset after ${resetAfter} ms: status ${got.status}, ${got.body.length} of ${part.length} bytes, ${got.isWhole ? 'whole' : 'broken'}, ${got.isMarked ? 'marked' : 'not marked'}`;
}

/** Has a server answer early, and lists the answers that reach callers otherwise than expected. */
async function listUnexpected(
	mesh: RelayMesh,
	answers: readonly EarlyAnswer[],
	respond: typeof breakOff,
	isExpected: (early: EarlyAnswer, got: RawAnswer) => boolean,
): Promise<string[]> {
	const {server} = mesh.nodes[0]!;
	const unexpected: string[] = [];
	for (const early of answers) {
		server.answerHead((request, id) => {
			respond(early, request, id);
			return true;
		});
		for (const node of [0, 1]) {
			const got = await sendUpload(mesh, node, early);
			if (!isExpected(early, got)) {
				unexpected.push(describe(node, early, got));
			}
		}
	}

	return unexpected;
}

test('an early answer without a length whose connection is reset never looks whole', async context => {
	const mesh = await startWithOneServer(context, {configuration});
	const looksWhole = await listUnexpected(
		mesh,
		[...listEarlyAnswers(), ...listSlow()],
		breakOff,
		(_early, {status, isWhole}) => !isWhole || status >= 300,
	);
	expect(looksWhole).toEqual([]);
});

test('an early answer without a length that ends in order is served', async context => {
	const mesh = await startWithOneServer(context, {configuration});
	const unserved = await listUnexpected(
		mesh,
		[...listEarlyAnswers(), ...listSlow().slice(0, 2), ...listSlow().slice(-2)],
		endInOrder,
		({part}, {status, isWhole, body}) => status < 300 && isWhole && body === part,
	);
	expect(unserved).toEqual([]);
});

const large = {bytes: 4_000_000, pieceBytes: 50_000, pieceMilliseconds: 10};
const largePiece = 'b'.repeat(large.pieceBytes);

/** Sends an answer that is too large to be held, without a length, and ends or breaks it off. */
async function sendLarge(
	request: IncomingMessage,
	requestId: string,
	bytes: number,
	end: (request: IncomingMessage) => void,
): Promise<void> {
	writeHead(request, 'HTTP/1.1 200 OK', requestId);
	request.resume();
	for (let sent = 0; sent < bytes; sent += large.pieceBytes) {
		request.socket.write(largePiece);
		await sleep(large.pieceMilliseconds);
	}

	end(request);
}

async function fetchLarge(
	{callersPort}: RelayNode,
	requestId: string,
	options: Partial<RawRequest> = {},
): Promise<RawAnswer> {
	return sendRaw({port: callersPort, requestId, path: '/search/large', ...options});
}

test('a large answer without a length arrives whole, or looks broken', async context => {
	const mesh = await startWithOneServer(context, {configuration});
	const [near, far] = mesh.nodes as [RelayNode, RelayNode];
	const {server} = near;
	server.answerHead((request, id) => {
		void sendLarge(request, id, large.bytes, ({socket}) => socket.end());
		return true;
	});
	const whole = await Promise.all([
		fetchLarge(near, 'near'),
		fetchLarge(far, 'far'),
		fetchLarge(far, 'slow', {bytesPerSecond: 6_000_000}),
		fetchLarge(far, 'old', {version: '1.0'}),
	]);
	expect(whole.map(({status, isWhole}) => [status, isWhole])).toEqual(
		whole.map(() => [200, true]),
	);
	expect(whole.map(({body}) => body.length)).toEqual(whole.map(() => large.bytes));
	expect(whole.map(({isMarked}) => isMarked)).toEqual([true, true, true, false]);

	server.answerHead((request, id) => {
		void sendLarge(request, id, large.bytes / 2, ({socket}) => socket.resetAndDestroy());
		return true;
	});
	const cut = await Promise.all([
		fetchLarge(near, 'near-cut'),
		fetchLarge(far, 'far-cut'),
		fetchLarge(far, 'old-cut', {version: '1.0'}),
	]);
	expect(cut.map(({isWhole}) => isWhole)).toEqual([false, false, false]);
});

for (const killed of ['near', 'far'] as const) {
	test(`an answer without a length never looks whole when the ${killed} node is killed`, async context => {
		const mesh = await startWithOneServer(context, {configuration});
		const [near, far] = mesh.nodes as [RelayNode, RelayNode];
		const sizes = [large.bytes, 800_000];
		const parts: string[] = [];
		for (const [index, bytes] of sizes.entries()) {
			near.server.answerHead((request, id) => {
				void sendLarge(request, id, bytes, ({socket}) => socket.end());
				return true;
			});
			const callers = [far, ...(killed === 'near' ? [near] : [])];
			const pending = callers.map(async (node, caller) =>
				fetchLarge(node, `large-${index}-${caller}`, {bytesPerSecond: 1_000_000}),
			);
			await sleep(600);
			await (killed === 'near' ? near : far).restart();
			for (const {isWhole, status, body} of await Promise.all(pending)) {
				if (isWhole && status < 300 && body.length < bytes) {
					parts.push(`${body.length} of ${bytes} bytes`);
				}
			}

			near.server.answerHead(undefined);
			await waitUntilReady(killed === 'near' ? near : far);
			await countServed(mesh);
		}

		expect(parts).toEqual([]);
	});
}
