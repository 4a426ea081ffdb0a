/**
 * Sends calls with 10,000 keys through nodes that fail at random, and compares the outcomes that
 * callers received with what ran. Exits with status 1 if a call ran twice or an outcome was wrong.
 * Flags: `--keys`, `--seed`, `--callers`.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {runRandomKeyedCalls} from '../test/support/random-keyed-calls.js';

const {values} = parseArgs({
	options: {
		keys: {type: 'string', default: '10000'},
		seed: {type: 'string', default: '1'},
		callers: {type: 'string', default: '64'},
	},
});

const cleaners: Array<() => Promise<void> | void> = [];
const cleaner = {
	after(clean: () => Promise<void> | void) {
		cleaners.push(clean);
	},
};
const run = {
	keys: Number(values.keys),
	seed: Number(values.seed),
	callers: Number(values.callers),
};
try {
	const report = await runRandomKeyedCalls(cleaner, run);
	console.log(JSON.stringify({...run, ...report}, undefined, '  '));
	process.exitCode = report.doubled.length + report.contradicted.length > 0 ? 1 : 0;
} finally {
	await Promise.all(cleaners.map(async clean => clean()));
}
