/** Runs an experiment of the load tool. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import * as Args from '@oclif/core/args';
import * as Flags from '@oclif/core/flags';
import {
	findNonLoopbackTargets,
	formatHtmlReport,
	formatTextReport,
	parseExperiment,
	runExperiment,
	type Experiment,
	type RunReport,
} from '../load/index.js';
import {formatFaults} from '../settings/index.js';
import {BaseCommand} from './base-command.js';
import {exitCodes} from './exit-codes.js';

export class LoadCommand extends BaseCommand {
	static override summary = 'Generate open-loop load and report latency and outcomes.';
	static override description =
		'Requests are sent on a seeded schedule, regardless of response times. Latency is measured from the scheduled send time. Targets beyond loopback need --beyond-loopback.';

	static override examples = [
		'<%= config.bin %> load bench/experiments/steady.yaml --target 127.0.0.1:7100',
		'<%= config.bin %> load steady.yaml --seed 7 --duration-seconds 5 --report steady.html --json',
	];

	static override args = {
		experiment: Args.string({description: 'YAML file of the experiment', required: true}),
	};

	static override flags = {
		target: Flags.string({
			description: 'data listener as host:port; overrides the targets of the file',
			multiple: true,
		}),
		seed: Flags.integer({description: 'overrides the seed of the file', min: 0}),
		'duration-seconds': Flags.integer({
			description: 'overrides the duration of the file',
			min: 1,
			max: 3600,
		}),
		report: Flags.string({description: 'HTML file to write'}),
		output: Flags.string({description: 'JSON file to write'}),
		'beyond-loopback': Flags.boolean({description: 'allow targets on other hosts'}),
	};

	static override enableJsonFlag = true;

	override async run(): Promise<RunReport> {
		const {args, flags} = await this.parse(LoadCommand);
		const experiment = this.readExperiment(args.experiment, {
			targets: flags.target,
			seed: flags.seed,
			durationSeconds: flags['duration-seconds'],
		});
		this.rejectNonLoopbackTargets(experiment, flags['beyond-loopback']);
		const report = await runUntilSignal(experiment);
		if (flags.report !== undefined) {
			writeFileSync(flags.report, formatHtmlReport(report));
		}

		if (flags.output !== undefined) {
			writeFileSync(flags.output, `${JSON.stringify(report, undefined, '\t')}\n`);
		}

		this.log(formatTextReport(report));
		return report;
	}

	private readExperiment(
		file: string,
		overrides: Readonly<
			Partial<Pick<Experiment, 'targets' | 'seed' | 'durationSeconds'>>
		>,
	): Experiment {
		const parsed = parseExperiment(this.readText(file));
		if (parsed.isErr()) {
			return this.fail(exitCodes.badInput, formatFaults(file, parsed.error));
		}

		return {
			...parsed.value,
			targets: overrides.targets ?? parsed.value.targets,
			seed: overrides.seed ?? parsed.value.seed,
			durationSeconds: overrides.durationSeconds ?? parsed.value.durationSeconds,
		};
	}

	private rejectNonLoopbackTargets(experiment: Experiment, isAllowed: boolean): void {
		const nonLoopbackTargets = findNonLoopbackTargets(experiment.targets);
		if (nonLoopbackTargets.length > 0 && !isAllowed) {
			this.fail(
				exitCodes.badInput,
				`${nonLoopbackTargets.join(', ')} is beyond loopback: use a loopback target, or add --beyond-loopback`,
			);
		}
	}
}

/** Stops sending requests on SIGINT; those in flight are still awaited and reported. */
async function runUntilSignal(experiment: Experiment): Promise<RunReport> {
	const controller = new AbortController();
	const abort = () => {
		controller.abort();
	};

	process.once('SIGINT', abort);
	const report = await runExperiment(experiment, controller.signal);
	process.removeListener('SIGINT', abort);
	return report;
}
