/**
 * Compares the balancing algorithms under noisy neighbours, stale and false load reports, stragglers,
 * freezing servers and servers that fail fast, in simulated time. The results are also written as
 * JSON to `file`.
 *
 * Usage: npm run bench:choice -- [seconds] [seed] [file]
 */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {balancingAlgorithms, type RoutingPolicy} from '../src/routing/index.js';
import {reportSources, runChoice, type ChoiceExperiment} from './choice-model.js';

const policy: RoutingPolicy = {
	choice: balancingAlgorithms.adaptive,
	candidates: 16,
	ejectionShare: 0.2,
	retryShare: 0.1,
	hedgeShare: 0.05,
	hedgeQuantile: 0.95,
	crossRegionBytesPerSecond: 0,
};

const seconds = Number(process.argv[2] ?? 5);
const seed = Number(process.argv[3] ?? 1);
const file = process.argv[4];
const loadCases = [12, 96].flatMap(ingresses =>
	[0.5, 0.75, 0.9].map(load => [ingresses, load] as const),
);
const noFaults = {stragglers: 0, failing: 0, freezing: 0};
const faults = [
	...Object.values(reportSources).map(reports => ({...noFaults, reports})),
	{...noFaults, reports: reportSources.gate, stragglers: 2},
	{...noFaults, reports: reportSources.gate, failing: 2},
	{...noFaults, reports: reportSources.gate, freezing: 2},
];

const rows = [];
for (const faultCase of faults) {
	for (const [ingresses, load] of loadCases) {
		for (const choice of Object.values(balancingAlgorithms)) {
			const experiment: ChoiceExperiment = {
				...faultCase,
				policy: {...policy, choice},
				ingresses,
				load,
				seed,
				durationMilliseconds: seconds * 1000,
			};
			const result = runChoice(experiment);
			rows.push({...faultCase, ingresses, load, choice, seed, ...result});
			console.log(
				[
					faultCase.reports.padEnd(8),
					describeFault(faultCase),
					`${ingresses} ingresses`.padStart(12),
					`${Math.round(load * 100)}%`,
					choice.padEnd(16),
					`p50 ${result.p50.toFixed(1).padStart(6)}`,
					`p99 ${result.p99.toFixed(1).padStart(7)}`,
					`p99.9 ${result.p999.toFixed(1).padStart(7)}`,
					`missed ${(result.missed * 100).toFixed(3).padStart(7)}%`,
					`to failing ${(result.toFailing * 100).toFixed(2).padStart(6)}%`,
				].join('  '),
			);
		}
	}
}

if (file !== undefined) {
	writeFileSync(file, `${JSON.stringify(rows, undefined, 2)}\n`);
}

function describeFault(faultCase: (typeof faults)[number]): string {
	const {stragglers, failing, freezing} = faultCase;
	return `slow ${stragglers} failing ${failing} freezing ${freezing}`;
}
