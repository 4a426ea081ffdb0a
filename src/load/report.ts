/** Formats the report of an experiment as a text table and as an HTML page with plots. */
import type {RunReport} from './run.js';
import type {StreamSummary} from './recorder.js';

const columns: ReadonlyArray<readonly [string, (stream: StreamSummary) => string]> = [
	['stream', stream => stream.name],
	['sent', stream => String(stream.sent)],
	['skipped', stream => String(stream.skipped)],
	['ran', stream => String(stream.ran)],
	['not-run', stream => String(stream.notRun)],
	['unknown', stream => String(stream.unknown)],
	['late', stream => String(stream.late)],
	['wrong', stream => String(stream.wrong)],
	['p50 ms', stream => stream.latency.p50.toFixed(2)],
	['p90 ms', stream => stream.latency.p90.toFixed(2)],
	['p99 ms', stream => stream.latency.p99.toFixed(2)],
	['p99.9 ms', stream => stream.latency.p999.toFixed(2)],
	['max ms', stream => stream.latency.maximum.toFixed(2)],
];

/**
 * Formats the report as a text table.
 *
 * @param report results of the experiment
 * @returns lines for a terminal
 */
export function formatTextReport(report: RunReport): string {
	const rows = [
		columns.map(([title]) => title),
		...report.streams.map(stream => columns.map(([, read]) => read(stream))),
	];
	const widths = columns.map((_, index) =>
		Math.max(...rows.map(row => row[index]!.length)),
	);
	const lines = rows.map(row =>
		row
			.map((cell, index) =>
				index === 0 ? cell.padEnd(widths[index]!) : cell.padStart(widths[index]!),
			)
			.join('  '),
	);
	const {name, seed} = report.experiment;
	const heading = `${name}: seed ${seed}, ${report.elapsedSeconds.toFixed(1)} s, worst send delay ${report.worstSendDelayMilliseconds.toFixed(1)} ms`;
	return [heading, ...lines, ...formatRefusals(report)].join('\n');
}

function formatRefusals(report: RunReport): string[] {
	return report.streams
		.filter(stream => Object.keys(stream.refusals).length > 0)
		.map(stream => {
			const counts = Object.entries(stream.refusals).map(
				([kind, count]) => `${kind} ${count}`,
			);
			return `${stream.name} refused: ${counts.join(', ')}`;
		});
}

const plotWidth = 720;
const plotHeight = 220;
const plotMargin = 48;
const colours = ['#0b6', '#c33', '#36c', '#a60', '#808', '#088', '#666'];

/**
 * Formats the report as an HTML page with plots over time.
 *
 * @param report results of the experiment
 * @returns the page
 */
export function formatHtmlReport(report: RunReport): string {
	const title = escapeText(report.experiment.name);
	return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>${title}</title>
<style>body{font:14px sans-serif;margin:2em}pre{overflow:auto}svg{display:block}</style>
<h1>${title}</h1>
<p>Seed ${report.experiment.seed}, started ${report.startedAt}.</p>
<pre>${escapeText(formatTextReport(report))}</pre>
${createPlot(report, 'p99 of requests that ran, ms', second => second.p99)}
${createPlot(report, 'requests that ran, a second', second => second.ran)}
${createPlot(report, 'requests refused as not-run, a second', second => second.notRun)}
</html>
`;
}

type SecondValue = (second: StreamSummary['seconds'][number]) => number;

function createPlot(report: RunReport, title: string, read: SecondValue): string {
	const {streams, experiment} = report;
	const values = streams.flatMap(stream => stream.seconds.map(second => read(second)));
	const maximum = Math.max(1, ...values);
	const lines = streams.map((stream, index) => {
		const points = stream.seconds.map(second => {
			const x = plotMargin + (second.second / experiment.durationSeconds) * plotWidth;
			const y = plotHeight - (read(second) / maximum) * (plotHeight - plotMargin / 2);
			return `${x.toFixed(1)},${y.toFixed(1)}`;
		});
		return createLine(stream.name, points, index);
	});
	return `<h2>${title}</h2>
<svg width="${plotWidth + 3 * plotMargin}" height="${plotHeight + plotMargin}" role="img">
<path d="M${plotMargin} 10V${plotHeight}H${plotMargin + plotWidth}" fill="none" stroke="#999"/>
<text x="0" y="20" font-size="11">${maximum.toPrecision(3)}</text>
<text x="${plotMargin}" y="${plotHeight + 16}" font-size="11">0 s</text>
<text x="${plotMargin + plotWidth - 20}" y="${plotHeight + 16}" font-size="11">${experiment.durationSeconds} s</text>
${lines.join('\n')}
</svg>`;
}

function createLine(name: string, points: readonly string[], index: number): string {
	const colour = colours[index % colours.length]!;
	const labelY = 20 + index * 14;
	return `<polyline points="${points.join(' ')}" fill="none" stroke="${colour}"/>
<text x="${plotWidth + plotMargin + 4}" y="${labelY}" font-size="11" fill="${colour}">${escapeText(name)}</text>`;
}

function escapeText(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('"', '&quot;');
}
