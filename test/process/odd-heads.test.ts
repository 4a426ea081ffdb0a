/**
 * Guards against answers whose head HTTP does not allow: none reaches a caller, neither as it is nor with a body that is
 * not the server's, and callers whose requests share its connections and its load get their own answers.
 */
import {Buffer} from 'node:buffer';
import {Agent} from 'node:http';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {startWithOneServer} from '../support/malformed-messages.js';
import {sendRaw} from '../support/raw-caller.js';
import {sendNodeRequest, type RelayMesh} from '../support/relay-mesh.js';

const oddBody = 'odd body';
const oddPath = '/book/odd';
const soundCallers = 4;
const splitMilliseconds = 5;
const statuses = [
	'000',
	'0',
	'099',
	'600',
	'999',
	'1000',
	'20',
	'2 0',
	'+200',
	'200x',
	'',
];
const lines = [
	'with blank: odd',
	' blank-before: odd',
	'blank-behind : odd',
	'with\ttab: odd',
	...['\u0000', '\u0001', '\u000B', '\u001F', '\u007F', '\u00E9'].map(
		character => `with${character}byte: odd`,
	),
	': odd',
	'Content Length: 3',
	'Content-Length : 3',
	'Transfer-Encoding : chunked',
	'bare\rreturn: odd',
	'no colon',
];

type OddHead = {
	readonly name: string;
	readonly text: (requestId: string) => string;
	/** What is odd in it. */
	readonly oddity: string;
	/** In the middle of which it is split over two segments; not split if absent. */
	readonly splitAt?: string;
};

/** The lines that make a success of an answer. */
const sealed = (id: string): string =>
	`X-Request-Id: ${id}\r\nX-Response-Seal: seal-${id}\r\n`;
const byLength = `Content-Length: ${oddBody.length}\r\n`;
const wholeHeads: readonly OddHead[] = [
	...statuses.map(status => ({
		name: `status ${JSON.stringify(status)}`,
		oddity: `HTTP/1.1 ${status} Odd`,
		text: (id: string) => `HTTP/1.1 ${status} Odd\r\n${sealed(id)}${byLength}\r\n`,
	})),
	...lines.flatMap(line => [
		{
			name: `${JSON.stringify(line)} first`,
			oddity: line,
			text: (id: string) => `HTTP/1.1 200 OK\r\n${line}\r\n${sealed(id)}${byLength}\r\n`,
		},
		{
			name: `${JSON.stringify(line)} last, until the close`,
			oddity: line,
			text: (id: string) =>
				`HTTP/1.1 200 OK\r\n${sealed(id)}Connection: close\r\n${line}\r\n\r\n`,
		},
		{
			name: `${JSON.stringify(line)} after an informational head`,
			oddity: line,
			text: (id: string) =>
				`HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n${sealed(id)}${line}\r\n${byLength}\r\n`,
		},
	]),
];

/** Each head in one segment, and in two that part in the middle of what is odd. */
const oddHeads: readonly OddHead[] = wholeHeads.flatMap(head => [
	head,
	{...head, name: `${head.name}, split`, splitAt: head.oddity},
]);

/** Writes an odd head; the connection stays open unless it ends the body. */
function answerOddly({nodes}: RelayMesh, {text, splitAt}: OddHead): void {
	nodes[0]!.server.answerHead(({url, socket}, id) => {
		if (!url!.startsWith(oddPath)) {
			return false;
		}

		const answer = text(id) + oddBody;
		const finish = (rest: string): void => {
			socket.write(Buffer.from(rest, 'latin1'));
			if (answer.includes('Connection: close')) {
				socket.end();
			}
		};

		socket.on('error', () => undefined);
		if (splitAt === undefined) {
			finish(answer);
			return true;
		}

		const middle = answer.indexOf(splitAt) + Math.ceil(splitAt.length / 2);
		socket.write(Buffer.from(answer.slice(0, middle), 'latin1'));
		setTimeout(finish, splitMilliseconds, answer.slice(middle));
		return true;
	});
}

test('no answer with an odd head reaches a caller, and other callers get their own', async context => {
	const mesh = await startWithOneServer(context);
	const agent = new Agent({keepAlive: true});
	context.after(() => {
		agent.destroy();
	});
	let count = 0;
	const isOwn = async (port: number): Promise<boolean> => {
		count += 1;
		const id = `sound-${count}`;
		const options = {headers: {'x-request-id': id}, agent};
		const {status, body} = await sendNodeRequest(port, '/book/sound', options);
		return status === 200 && body === `answer to ${id}`;
	};

	// Kept open, the connection would take no further answer of the stand-in's own, which waits for this one.
	answerOddly(mesh, {
		name: 'sound',
		oddity: '',
		text: id => `HTTP/1.1 200 OK\r\n${sealed(id)}Connection: close\r\n${byLength}\r\n`,
	});
	for (const {callersPort: port} of mesh.nodes) {
		const {status, body} = await sendRaw({port, requestId: `${port}`, path: oddPath});
		expect([status, body]).toEqual([200, oddBody]);
	}

	const passedOn: string[] = [];
	const unserved: string[] = [];
	for (const head of oddHeads) {
		answerOddly(mesh, head);
		for (const {callersPort} of mesh.nodes) {
			count += 1;
			const sound = Array.from({length: soundCallers}, async () => isOwn(callersPort));
			const odd = await sendRaw({
				port: callersPort,
				requestId: `odd-${count}`,
				path: oddPath,
			});
			if (odd.status !== 502 || !odd.isWhole || odd.body.includes(oddBody)) {
				passedOn.push(`${head.name}: ${odd.status}, ${odd.body}`);
			}

			const served = [...(await Promise.all(sound)), await isOwn(callersPort)];
			if (served.includes(false)) {
				unserved.push(head.name);
			}
		}
	}

	await sleep(splitMilliseconds);
	expect(passedOn).toEqual([]);
	expect(unserved).toEqual([]);
	expect(mesh.nodes.map(({child}) => child.exitCode)).toEqual([null, null]);
});
