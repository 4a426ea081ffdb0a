/** A length or a last chunk marks the end of every response, so that a part of it never looks whole. */
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {PassThrough} from 'node:stream';
import {test} from 'node:test';
import {expect} from 'earl';
import {attemptResultKinds, type Body} from '../../src/call/index.js';
import {writeResponse} from '../../src/http/index.js';

type Received = {
	readonly text: string;
	readonly ends: readonly string[];
};

/** Has a response written, and reads what reaches a plain socket until its connection closes. */
async function fetchResponse(
	body: Body,
	version: string,
	onBody: () => void = () => undefined,
): Promise<Received> {
	const server = createServer((_request, response) => {
		writeResponse(response, {
			kind: attemptResultKinds.answered,
			status: 200,
			headers: ['content-type', 'text/plain'],
			body,
			load: undefined,
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const socket = connect(port, '127.0.0.1');
	socket.write(`GET / HTTP/${version}\r\nHost: a\r\nConnection: close\r\n\r\n`);
	const ends: string[] = [];
	let text = '';
	socket.on('data', chunk => {
		text += chunk.toString('latin1');
		if (text.includes('a part')) {
			onBody();
		}
	});
	socket.on('end', () => ends.push('in order'));
	socket.on('error', () => ends.push('reset'));
	await new Promise<void>(resolve => {
		socket.on('close', () => {
			resolve();
		});
	});
	server.close();
	return {text: text.toLowerCase(), ends};
}

function createStream(): PassThrough {
	const body = new PassThrough();
	body.write('a part');
	return body;
}

for (const version of ['1.0', '1.1']) {
	test(`a buffered response to HTTP/${version} states its length`, async () => {
		const {text, ends} = await fetchResponse(new TextEncoder().encode('a body'), version);
		expect(text).toInclude('content-length: 6\r\n');
		expect(text).toInclude('\r\n\r\na body');
		expect(ends).toEqual(['in order']);
	});
}

test('a streamed response comes in chunks, and ends with the last one', async () => {
	const {text} = await fetchResponse(createStream().end(' and the rest'), '1.1');
	expect(text).toInclude('transfer-encoding: chunked\r\n');
	expect(text.endsWith('\r\n0\r\n\r\n')).toEqual(true);
});

/** The parser of Node.js takes requests of the second too, and its writer sends them no chunks. */
const versionsWithoutChunks = ['1.0', '2.0'];

for (const version of versionsWithoutChunks) {
	test(`a streamed response to HTTP/${version}, which has no chunks, ends with its connection`, async () => {
		const {text, ends} = await fetchResponse(
			createStream().end(' and the rest'),
			version,
		);
		expect(text.endsWith('\r\n\r\na part and the rest')).toEqual(true);
		expect(ends).toEqual(['in order']);
	});
}

const failures: ReadonlyArray<readonly [string, (body: PassThrough) => void]> = [
	['fails', body => body.destroy(new Error('reset'))],
	['is closed early', body => body.destroy()],
];
for (const [name, end] of failures) {
	test(`a response to HTTP/1.1 whose body ${name} has no last chunk`, async () => {
		const body = createStream();
		const {text} = await fetchResponse(body, '1.1', () => {
			end(body);
		});
		expect(text).toInclude('transfer-encoding: chunked\r\n');
		expect(text.includes('0\r\n\r\n')).toEqual(false);
	});

	// The connection was closed in order, so that a part of the body looked whole.
	for (const version of versionsWithoutChunks) {
		test(`a response to HTTP/${version} whose body ${name} resets its connection`, async () => {
			const body = createStream();
			const {ends} = await fetchResponse(body, version, () => {
				end(body);
			});
			expect(ends).toEqual(['reset']);
		});
	}
}
