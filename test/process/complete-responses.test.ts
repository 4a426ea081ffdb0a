/**
 * Every caller gets the complete response to its own request, or sees that it is incomplete:
 * responses truncated by a server or a gate, large uploads and responses, callers that disconnect.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {request as sendRequest} from 'node:http';
import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {readProcessUsage} from '../../bench/process-usage.js';
import {sendCall} from '../support/http.js';
import {readJournal, startMesh, type MeshNode} from '../support/mesh.js';

const service = 'proofs';
const mebibyte = 1_048_576;
const warmUpCalls = 300;
/** Additional memory that a node may use while it streams a large body. */
const maximumGrowthMebibytes = 32;

async function startPair(
	context: Parameters<typeof startMesh>[0],
): Promise<[MeshNode, MeshNode]> {
	const [gate, ingress] = await startMesh(context, [{service}, {service: 'booking'}]);
	return [gate!, ingress!];
}

const cutCases = [
	{
		name: 'small response, truncated by the server',
		answerBytes: 30_000,
		cutAfterBytes: 1,
	},
	{
		name: 'large response, truncated by the server',
		answerBytes: 5_000_000,
		cutAfterBytes: 1_000_000,
	},
];

for (const {name, answerBytes, cutAfterBytes} of cutCases) {
	test(`a truncated response never counts as complete: ${name}`, async context => {
		const [, ingress] = await startPair(context);
		const answer = await sendCall({
			port: ingress.dataPort,
			service,
			headers: {
				'x-stand-in-answer-bytes': String(answerBytes),
				'x-stand-in-cut-after-bytes': String(cutAfterBytes),
			},
		});
		const isComplete = answer.outcome === 'ran' && answer.body.length === answerBytes;
		expect(isComplete).toEqual(false);
		expect(['cut', 'unknown']).toInclude(answer.outcome);
	});
}

test('when a gate is killed during a response, the connection to the caller breaks', async context => {
	const [gate, ingress] = await startPair(context);
	const length = 400 * mebibyte;
	const request = sendRequest({
		port: ingress.dataPort,
		host: '127.0.0.1',
		headers: {'foxtailtide-service': service, 'x-stand-in-answer-bytes': String(length)},
	});
	request.end();
	const [response] = (await once(request, 'response')) as [Readable];
	let received = 0;
	response.on('data', (chunk: Uint8Array) => {
		received += chunk.length;
		if (received > mebibyte) {
			gate.process.signal('SIGKILL');
		}
	});
	await expect(once(response, 'end')).toBeRejected();
	expect(received).toBeLessThan(length);
});

test('a large upload arrives complete, streamed with bounded memory', async context => {
	const [gate, ingress] = await startPair(context);
	const chunk = Buffer.alloc(mebibyte, 'artwork ');
	const chunks = 256;
	const hash = createHash('sha256');
	function* generate(): Generator<Uint8Array> {
		for (let index = 0; index < chunks; index += 1) {
			hash.update(chunk);
			yield chunk;
		}
	}

	await warmUp(ingress);
	const ids = [gate.process.child.pid!, ingress.process.child.pid!];
	const before = readProcessUsage(ids).residentBytes;
	const request = sendRequest({
		port: ingress.dataPort,
		host: '127.0.0.1',
		method: 'PUT',
		path: '/artwork/1',
		headers: {
			'foxtailtide-service': service,
			'content-length': String(chunks * mebibyte),
		},
	});
	const answered = once(request, 'response') as Promise<
		[Readable & {statusCode: number}]
	>;
	await pipeline(Readable.from(generate()), request);
	const [response] = await answered;
	const body = Buffer.concat((await response.toArray()) as Uint8Array[]);
	const grown = readProcessUsage(ids).residentBytes - before;
	console.log(
		`resident memory of both nodes grew by ${Math.round(grown / mebibyte)} MiB`,
	);
	expect(response.statusCode).toEqual(200);
	const {digest} = JSON.parse(body.toString('utf8')) as {digest: string};
	expect(digest).toEqual(hash.digest('hex'));
	expect(grown).toBeLessThan(ids.length * maximumGrowthMebibytes * mebibyte);
});

test('a disconnected caller cancels its request on the server', async context => {
	const [gate, ingress] = await startPair(context);
	const request = sendRequest({
		port: ingress.dataPort,
		host: '127.0.0.1',
		headers: {
			'foxtailtide-service': service,
			'x-request-id': 'left',
			'x-stand-in-service-time-ms': '60000',
			'foxtailtide-deadline-ms': '60000',
		},
	});
	request.on('error', () => undefined);
	request.end();
	const started = await waitForState(gate, 'left', 'running');
	request.destroy();
	const ended = await waitForState(gate, 'left', 'cancelled');
	expect([started, ended]).toEqual([true, true]);
});

/** Sends small calls until the nodes have reached their usual memory size. */
async function warmUp(node: MeshNode): Promise<void> {
	for (let count = 0; count < warmUpCalls; count += 1) {
		await sendCall({port: node.dataPort, service, method: 'PUT', body: 'warm-up'});
	}
}

async function waitForState(
	node: MeshNode,
	requestId: string,
	state: string,
): Promise<boolean> {
	for (let tries = 0; tries < 200; tries += 1) {
		const entries = await readJournal(node);
		if (entries.some(entry => entry.requestId === requestId && entry.state === state)) {
			return true;
		}

		await sleep(20);
	}

	return false;
}
