/** An answer whose end was told only by its connection is passed on in the same way. */
import {createServer, request as sendRequest} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {attemptResultKinds} from '../../src/call/index.js';
import {writeResponse} from '../../src/http/index.js';

async function readHeaders(endsWithConnection: boolean) {
	const server = createServer((_request, response) => {
		writeResponse(response, {
			kind: attemptResultKinds.answered,
			status: 200,
			headers: ['content-type', 'text/plain'],
			body: new TextEncoder().encode('a body'),
			isCloseDelimited: endsWithConnection,
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

test('an answer of unknown end gets no length, and its connection closes', async () => {
	const {headers, body} = await readHeaders(true);
	expect(headers['content-length']).toEqual(undefined);
	expect(headers['transfer-encoding']).toEqual(undefined);
	expect(headers.connection).toEqual('close');
	expect(body).toEqual('a body');
});

test('a whole answer gets its length', async () => {
	const {headers} = await readHeaders(false);
	expect(headers['content-length']).toEqual('6');
});
