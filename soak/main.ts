/**
 * Runs seeds of the soak one after another and prints their findings. `--seed N` runs one seed,
 * `--first N --seeds M` runs M seeds from N on, `--minutes M` runs new seeds for M minutes.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {runSoak} from './run.js';

const defaultNodes = 6;
const defaultSeconds = 15;
const defaultCallers = 3;
const millisecondsPerMinute = 60_000;

const {values} = parseArgs({
	options: {
		seed: {type: 'string'},
		first: {type: 'string'},
		seeds: {type: 'string'},
		minutes: {type: 'string'},
		nodes: {type: 'string'},
		seconds: {type: 'string'},
		callers: {type: 'string'},
	},
});

function* listSeeds(): Generator<number> {
	if (values.seed !== undefined) {
		yield Number(values.seed);
		return;
	}

	const until =
		values.minutes === undefined
			? Number.POSITIVE_INFINITY
			: Date.now() + Number(values.minutes) * millisecondsPerMinute;
	const first = Number(values.first ?? Math.floor(Date.now() / 1000));
	const count = Number(values.seeds ?? (values.minutes === undefined ? 1 : until));
	for (let index = 0; index < count && Date.now() < until; index += 1) {
		yield first + index;
	}
}

let passed = 0;
let failed = 0;
for (const seed of listSeeds()) {
	const result = await runSoak({
		seed,
		nodes: Number(values.nodes ?? defaultNodes),
		faultPeriodMilliseconds: Number(values.seconds ?? defaultSeconds) * 1000,
		callersPerNode: Number(values.callers ?? defaultCallers),
	});
	const {findings, requests, served, faults, folder} = result;
	const isClean = findings.length === 0;
	passed += isClean ? 1 : 0;
	failed += isClean ? 0 : 1;
	console.log(
		`${isClean ? 'ok' : 'not ok'} seed ${seed}: ${served} of ${requests} served, ${faults} disturbances`,
	);
	for (const finding of findings) {
		console.log(`  ${finding}`);
	}

	if (!isClean) {
		console.log(`  logs: ${folder}`);
	}
}

console.log(`${passed} passed, ${failed} failed`);
// Half-open connections left by a fault would keep the process alive.
// eslint-disable-next-line unicorn/no-process-exit
process.exit(failed > 0 ? 1 : 0);
