/** Bodies as streams of joined pieces: whole, cut off without a reader, and read slowly. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, request as sendRequest, type IncomingMessage} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {joinPieces} from '../../src/http/index.js';

/** Starts an upload; resolves with its body as it is received, and the sending side. */
async function startUpload(context: TestContext) {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => {
		server.close();
		server.closeAllConnections();
	});
	const {port} = server.address() as AddressInfo;
	const upload = sendRequest({host: '127.0.0.1', port, method: 'POST'});
	upload.on('error', () => undefined);
	upload.write('begin ');
	const [message] = (await once(server, 'request')) as [IncomingMessage];
	return {upload, message, body: joinPieces(message)};
}

test('a body that is cut off before anybody reads it ends with an error and nothing else', async context => {
	const {upload, body} = await startUpload(context);
	upload.destroy();
	await sleep(100);
	expect(body.destroyed).toEqual(true);
	expect(body.errored === null).toEqual(false);
});

test('a slow reader gets every byte in order, and stops the connection meanwhile', async context => {
	const {upload, body, message} = await startUpload(context);
	const pieces = Array.from({length: 6000}, (_, index) => `${index}`.padStart(50, '.'));
	for (const piece of pieces) {
		upload.write(piece);
	}

	upload.end();
	await sleep(200);
	expect(message.complete).toEqual(false);
	expect(message.readableLength).toBeLessThan(65_536);
	const chunks: Uint8Array[] = [];
	for await (const chunk of body as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
		await sleep(1);
	}

	expect(Buffer.concat(chunks).toString()).toEqual(`begin ${pieces.join('')}`);
	expect(chunks.length).toBeLessThan(200);
});
