/** Public surface of the settings. */
export {
	parseSettings,
	readSettings,
	type Settings,
	type SettingsError,
} from './settings.js';
