/** A close-delimited response is passed on as a close-delimited response. */
import {createServer, request as sendRequest} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {PassThrough} from 'node:stream';
import {test} from 'node:test';
import {expect} from 'earl';
import {attemptResultKinds} from '../../src/call/index.js';
import {writeResponse} from '../../src/http/index.js';

async function fetchResponse(isCloseDelimited: boolean) {
	const server = createServer((_request, response) => {
		writeResponse(response, {
			kind: attemptResultKinds.answered,
			status: 200,
			headers: ['content-type', 'text/plain'],
			body: new TextEncoder().encode('a body'),
			isCloseDelimited,
			load: undefined,
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const result = await new Promise<{headers: Record<string, unknown>; body: string}>(
		resolve => {
			sendRequest({host: '127.0.0.1', port, agent: false}, response => {
				let body = '';
				response.on('data', (chunk: Uint8Array) => {
					body += new TextDecoder().decode(chunk);
				});
				response.on('end', () => {
					resolve({headers: response.headers, body});
				});
			}).end();
		},
	);
	server.close();
	return result;
}

test('a close-delimited response has no content length and closes its connection', async () => {
	const {headers, body} = await fetchResponse(true);
	expect(headers['content-length']).toEqual(undefined);
	expect(headers['transfer-encoding']).toEqual(undefined);
	expect(headers.connection).toEqual('close');
	expect(body).toEqual('a body');
});

test('a buffered response has a content length', async () => {
	const {headers} = await fetchResponse(false);
	expect(headers['content-length']).toEqual('6');
});

const failures: ReadonlyArray<readonly [string, (body: PassThrough) => void]> = [
	['fails', body => body.destroy(new Error('reset'))],
	['is closed early', body => body.destroy()],
];
for (const [name, end] of failures) {
	// The connection was closed in order, so that a part of the body looked whole.
	test(`a close-delimited response whose body ${name} resets its connection`, async () => {
		const body = new PassThrough();
		const server = createServer((_request, response) => {
			writeResponse(response, {
				kind: attemptResultKinds.answered,
				status: 200,
				headers: [],
				body,
				isCloseDelimited: true,
				load: undefined,
			});
			body.write('a part');
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const {port} = server.address() as AddressInfo;
		const socket = connect(port, '127.0.0.1');
		socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
		socket.on('data', chunk => {
			if (chunk.toString('latin1').includes('a part')) {
				end(body);
			}
		});
		const ends: string[] = [];
		socket.on('end', () => ends.push('in order'));
		socket.on('error', () => ends.push('reset'));
		await new Promise<void>(resolve => {
			socket.on('close', () => {
				resolve();
			});
		});
		server.close();
		expect(ends).toEqual(['reset']);
	});
}
