/**
 * A minimal HTTP proxy without any policy, on the same HTTP library as a node. It is the baseline
 * for the latency, memory and processor time that a node adds.
 */
import {Agent, createServer, request as sendRequest} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';

const targetPort = Number(process.argv[2]);
const agent = new Agent({keepAlive: true});

const server = createServer({noDelay: true}, (request, response) => {
	const outgoing = sendRequest({
		agent,
		host: '127.0.0.1',
		port: targetPort,
		method: request.method,
		path: request.url,
		headers: request.headers,
	});
	outgoing.on('response', incoming => {
		response.writeHead(incoming.statusCode!, incoming.headers);
		incoming.pipe(response);
	});
	outgoing.on('error', () => response.destroy());
	request.pipe(outgoing);
});

server.listen(0, '127.0.0.1', () => {
	process.stdout.write(
		`${JSON.stringify({port: (server.address() as AddressInfo).port})}\n`,
	);
});
