/**
 * Stand-in for the platform's table service: in-memory rows with conditional writes. Faults are
 * set and counters are read over HTTP at run time.
 *
 * - `GET | PUT | DELETE /rows/KEY`, `GET /rows?prefix=&after=&limit=`: see `src/platform`.
 * - `PUT /faults` with the JSON of `faults.ts` replaces the faults; `{}` clears them.
 * - `GET /counters`: reads, lists, writes, removals and conflicts that reached the rows, without lost requests.
 *
 * Flags: `--host` (127.0.0.1) and `--port` (0, any free port). Prints `{"port":N}` once it listens.
 */
import {createServer} from 'node:http';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {createTableHandler} from './handler.js';

const {values} = parseArgs({
	options: {
		host: {type: 'string', default: '127.0.0.1'},
		port: {type: 'string', default: '0'},
	},
});

const handle = createTableHandler();
const server = createServer((request, response) => {
	handle(request, response).catch((error: unknown) => {
		process.stderr.write(`table: ${String(error)}\n`);
		request.socket.destroy();
	});
});

server.listen(Number(values.port), values.host, () => {
	const address = server.address();
	const port = typeof address === 'object' ? address?.port : undefined;
	process.stdout.write(`${JSON.stringify({port})}\n`);
});

process.once('SIGTERM', () => {
	server.close();
	server.closeAllConnections();
});
