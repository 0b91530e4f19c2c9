/** Settings files: schema and validation. */
export {parseSettings, SettingsError, type SettingsProblem} from './SettingsFile';
export {
  type EngineStandInSettings,
  type LimitSettings,
  type ServiceStandInSettings,
  type Settings,
  settingsJsonSchema,
  settingsSchema,
  type VmSettings,
} from './SettingsSchema';
