/** Tests the load tool: parsing of experiments, schedules, counts, latency and reports. */
import {createServer} from 'node:http';
import {once} from 'node:events';
import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
	findNonLoopbackTargets,
	formatHtmlReport,
	formatTextReport,
	parseExperiment,
	runExperiment,
	scheduleArrivals,
	type Experiment,
} from '../../src/load/index.js';
import {startStandInServer} from '../../stand-ins/server/server.js';

const text = `
name: small
seed: 3
durationSeconds: 1
targets: ['127.0.0.1:1']
streams:
  - name: urgent
    service: booking
    ratePerSecond: 100
    changes: [{atSeconds: 0.5, ratePerSecond: 400}]
  - name: browsing
    service: proofs
    ratePerSecond: 50
    arrivals: uniform
`;

function createExperiment(changes: Partial<Experiment> = {}): Experiment {
	const experiment = parseExperiment(text)._unsafeUnwrap();
	return {...experiment, ...changes};
}

test('all faults of an experiment are reported at once, with their lines', () => {
	const faulty =
		'name: x\nseed: -1\ndurationSeconds: 1e9\ntargets: [here]\nspeed: 3\nstreams: []\n';
	const faults = parseExperiment(faulty)._unsafeUnwrapErr();
	expect(faults.map(({line, place}) => `${line} ${place}`)).toEqual([
		'2 seed',
		'3 durationSeconds',
		'4 targets.0',
		'5 speed',
		'6 streams',
	]);
});

test('parsing any text returns an experiment or faults, and throws no exception', () => {
	const property = fc.property(fc.string({unit: 'grapheme'}), sample => {
		const result = parseExperiment(sample);
		return result.isOk() || result.error.length > 0;
	});
	fc.assert(property, {seed: 50, numRuns: 300});
});

test('a schedule is reproducible from its seed, in order of time, and matches its rates', () => {
	const experiment = createExperiment({durationSeconds: 10});
	const arrivals = [...scheduleArrivals(experiment)];
	expect([...scheduleArrivals(experiment)]).toEqual(arrivals);
	expect(arrivals.map(({at}) => at)).toEqual(
		arrivals.map(({at}) => at).toSorted((a, b) => a - b),
	);
	const urgent = arrivals.filter(({stream}) => stream === 0);
	expect(Math.abs(urgent.length - 3850)).toBeLessThan(250);
	expect(arrivals.length - urgent.length).toEqual(499);
});

const targetCases: ReadonlyArray<readonly [string, boolean]> = [
	['127.0.0.1:80', false],
	['localhost:80', false],
	['[::1]:80', false],
	['10.0.0.1:80', true],
	['127.0.0.1.example.org:80', true],
];

for (const [target, isNonLoopback] of targetCases) {
	test(`${target} is ${isNonLoopback ? 'not a' : 'a'} loopback target`, () => {
		expect(findNonLoopbackTargets([target]).length).toEqual(isNonLoopback ? 1 : 0);
	});
}

test('each request is counted once, latency includes waiting, and the reports show it', async context => {
	const server = await startStandInServer({
		host: '127.0.0.1',
		port: 0,
		service: 'booking',
		name: 'server-1',
		slots: 1,
		queueLength: 0,
		serviceTimeMilliseconds: 15,
		distribution: 'fixed',
		seed: 1,
		coldStartMilliseconds: 0,
		coldStartFactor: 1,
	});
	context.after(async () => server.stop());
	const report = await runExperiment(
		createExperiment({targets: [`127.0.0.1:${server.port}`]}),
	);
	const arrivals = [...scheduleArrivals(report.experiment)].length;
	const {journal} = server.context;
	const sum = (read: (stream: (typeof report.streams)[number]) => number): number =>
		report.streams.reduce((total, stream) => total + read(stream), 0);
	expect(sum(({sent}) => sent)).toEqual(arrivals);
	expect(sum(({ran, notRun, unknown}) => ran + notRun + unknown)).toEqual(arrivals);
	expect(sum(({ran}) => ran)).toEqual(journal.entries.length);
	expect(sum(({wrong}) => wrong)).toEqual(0);
	expect(report.streams[0]!.latency.p50).toBeGreaterThanOrEqual(14);
	expect(formatTextReport(report)).toInclude('urgent');
	expect(formatHtmlReport(report)).toInclude('<polyline');
});

test('a request without a response has the outcome unknown and a reason', async context => {
	const server = createServer(() => {
		// Never responds.
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => {
		server.close();
		server.closeAllConnections();
	});
	const address = server.address();
	const port = typeof address === 'object' ? address?.port : 0;
	const experiment = createExperiment({
		targets: [`127.0.0.1:${port}`],
		durationSeconds: 0.5,
	});
	const streams = experiment.streams.map(stream => ({
		...stream,
		deadlineMilliseconds: 1,
	}));
	const report = await runExperiment({...experiment, streams});
	const [urgent] = report.streams;
	expect(urgent!.sent).toBeGreaterThan(0);
	expect(urgent!.unknown).toEqual(urgent!.sent);
	expect(urgent!.refusals).toEqual({'no-answer-in-time': urgent!.sent});
});
