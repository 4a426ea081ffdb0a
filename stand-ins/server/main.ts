/**
 * Entry point of the stand-in server. It prints `{"port":N}` as one line of JSON once it listens,
 * and shuts down gracefully on SIGTERM or SIGINT.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {distributions, type ServerOptions} from './behaviour.js';
import {startStandInServer} from './server.js';

const {values} = parseArgs({
	options: {
		host: {type: 'string', default: '127.0.0.1'},
		port: {type: 'string', default: '0'},
		service: {type: 'string', default: 'availability'},
		name: {type: 'string', default: `server-${process.pid}`},
		slots: {type: 'string', default: '10'},
		queue: {type: 'string', default: '64'},
		local: {type: 'string'},
		'service-time-milliseconds': {type: 'string', default: '2'},
		distribution: {type: 'string', default: distributions.fixed},
		seed: {type: 'string', default: '1'},
		'cold-start-milliseconds': {type: 'string', default: '0'},
		'cold-start-factor': {type: 'string', default: '5'},
		'journal-file': {type: 'string'},
	},
});

const options: ServerOptions = {
	host: values.host,
	port: Number(values.port),
	service: values.service,
	name: values.name,
	slots: Number(values.slots),
	queueLength: Number(values.queue),
	serviceTimeMilliseconds: Number(values['service-time-milliseconds']),
	distribution:
		values.distribution === distributions.exponential
			? distributions.exponential
			: distributions.fixed,
	seed: Number(values.seed),
	coldStartMilliseconds: Number(values['cold-start-milliseconds']),
	coldStartFactor: Number(values['cold-start-factor']),
	local: values.local,
	journalFile: values['journal-file'],
};

async function main(): Promise<void> {
	const server = await startStandInServer(options);
	process.stdout.write(`${JSON.stringify({port: server.port})}\n`);
	let isStopping = false;
	const stopOnce = () => {
		if (!isStopping) {
			isStopping = true;
			void server.stop();
		}
	};

	process.on('SIGTERM', stopOnce);
	process.on('SIGINT', stopOnce);
}

void main();
