/**
 * Compares the ways of choosing a server under noisy neighbours, stale and false reports,
 * stragglers and servers that fail at once: `npm run bench:choice [seconds] [seed]`. Times are
 * simulated; JSON goes to the file named by the third argument.
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
const setups = [12, 96].flatMap(ingresses =>
	[0.5, 0.75, 0.9].map(load => [ingresses, load] as const),
);
const sound = {stragglers: 0, failing: 0, freezing: 0};
const faults = [
	...Object.values(reportSources).map(reports => ({...sound, reports})),
	{...sound, reports: reportSources.gate, stragglers: 2},
	{...sound, reports: reportSources.gate, failing: 2},
	{...sound, reports: reportSources.gate, freezing: 2},
];

const rows = [];
for (const fault of faults) {
	for (const [ingresses, load] of setups) {
		for (const choice of Object.values(balancingAlgorithms)) {
			const experiment: ChoiceExperiment = {
				...fault,
				policy: {...policy, choice},
				ingresses,
				load,
				seed,
				durationMilliseconds: seconds * 1000,
			};
			const figures = runChoice(experiment);
			rows.push({...fault, ingresses, load, choice, seed, ...figures});
			console.log(
				[
					fault.reports.padEnd(8),
					describeFault(fault),
					`${ingresses} ingresses`.padStart(12),
					`${Math.round(load * 100)}%`,
					choice.padEnd(16),
					`p50 ${figures.p50.toFixed(1).padStart(6)}`,
					`p99 ${figures.p99.toFixed(1).padStart(7)}`,
					`p99.9 ${figures.p999.toFixed(1).padStart(7)}`,
					`missed ${(figures.missed * 100).toFixed(3).padStart(7)}%`,
					`to failing ${(figures.toFailing * 100).toFixed(2).padStart(6)}%`,
				].join('  '),
			);
		}
	}
}

if (file !== undefined) {
	writeFileSync(file, `${JSON.stringify(rows, undefined, 2)}\n`);
}

function describeFault(fault: (typeof faults)[number]): string {
	const {stragglers, failing, freezing} = fault;
	return `slow ${stragglers} failing ${failing} freezing ${freezing}`;
}
